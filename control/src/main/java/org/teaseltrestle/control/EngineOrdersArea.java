package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.EngineOwner;
import org.teaseltrestle.wire.PlaceEngineOrder;
import org.teaseltrestle.wire.SettleEngineOrder;
import org.teaseltrestle.wire.TransferEngineOwnership;

/**
 * Orders to engines: at most one open order for each engine, and one owner for each engine that
 * ignores fencing numbers.
 */
final class EngineOrdersArea {

  private static final int SETTLED_CAPACITY = 1_024;

  private final FleetArea fleet;
  private final InstancesArea instances;
  private PersistentMap<String, EngineOrder> openByEngine = PersistentMap.empty();
  private PersistentMap<String, EngineOwner> owners = PersistentMap.empty();
  private final BoundedHistory<EngineOrder> settled = new BoundedHistory<>(SETTLED_CAPACITY);

  EngineOrdersArea(FleetArea fleet, InstancesArea instances) {
    this.fleet = fleet;
    this.instances = instances;
  }

  PersistentMap<String, EngineOrder> openByEngine() {
    return openByEngine;
  }

  PersistentMap<String, EngineOwner> owners() {
    return owners;
  }

  CommandAnswer.Builder place(PlaceEngineOrder change, AuthorityArea authority) {
    EngineOrder order = change.getOrder();
    Optional<EngineOrder> open = openByEngine.get(order.getBackendServer());
    Optional<EngineOrder> known =
        open.filter(o -> o.getOrderId().equals(order.getOrderId()))
            .or(() -> settled.get(order.getOrderId()));
    if (known.isPresent()) {
      return answerKnown(known.get(), order);
    }
    Optional<CommandAnswer.Builder> refusal =
        authority.refusal(change.getAuthorityTerm(), order.getOrderId());
    if (refusal.isPresent()) {
      return refusal.get();
    }
    if (open.isPresent()) {
      return Answers.conflict(
          order.getOrderId(), "the engine has the open order " + open.get().getOrderId());
    }
    return placeNew(order, authority);
  }

  CommandAnswer.Builder settle(SettleEngineOrder change, AuthorityArea authority) {
    String id = change.getOrderId();
    if (settled.get(id).isPresent()) {
      return Answers.accepted(id);
    }
    Optional<CommandAnswer.Builder> refusal = authority.refusal(change.getAuthorityTerm(), id);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    Optional<EngineOrder> open =
        openByEngine.values().stream().filter(o -> o.getOrderId().equals(id)).findFirst();
    if (open.isEmpty()) {
      return Answers.rejected(id, "no open engine order has the id " + id);
    }
    String engine = open.get().getBackendServer();
    openByEngine = openByEngine.without(engine);
    settled.add(id, open.get().toBuilder().setSettled(true).setResult(change.getResult()).build());
    forgetOwnerOfGone(engine);
    return Answers.accepted(id);
  }

  CommandAnswer.Builder transfer(TransferEngineOwnership change) {
    String engine = change.getBackendServer();
    ProcessStart to = new ProcessStart(change.getToInstance(), change.getToBoot());
    Optional<ProcessStart> owner = owners.get(engine).map(EngineOrdersArea::process);
    if (owner.isEmpty()) {
      return Answers.rejected(engine, "the engine has no owner");
    }
    if (owner.get().equals(to)) {
      return Answers.accepted(engine);
    }
    ProcessStart from = new ProcessStart(change.getFromInstance(), change.getFromBoot());
    if (!owner.get().equals(from)) {
      return Answers.conflict(engine, "the engine is owned by " + owner.get());
    }
    if (!instances.isCurrent(to)) {
      return Answers.rejected(engine, "the new owner is not registered: " + to);
    }
    Optional<String> fault = transferFault(change.getReason(), from, to);
    if (fault.isPresent()) {
      return Answers.rejected(engine, fault.get());
    }
    setOwner(engine, to);
    return Answers.accepted(engine);
  }

  /** Drops the owner of an engine that left the fleet, unless one of its calls may be under way. */
  void forgetOwnerOfGone(String engine) {
    if (!openByEngine.contains(engine) && !fleet.servers().contains(engine)) {
      owners = owners.without(engine);
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot
        .addAllOpenEngineOrders(openByEngine.values())
        .addAllSettledEngineOrders(settled.oldestFirst())
        .addAllEngineOwners(owners.values());
  }

  void load(ControlSnapshot snapshot) {
    for (EngineOrder order : snapshot.getOpenEngineOrdersList()) {
      openByEngine = openByEngine.with(order.getBackendServer(), order);
    }
    snapshot.getSettledEngineOrdersList().forEach(o -> settled.add(o.getOrderId(), o));
    snapshot.getEngineOwnersList().forEach(o -> owners = owners.with(o.getBackendServer(), o));
  }

  private static CommandAnswer.Builder answerKnown(EngineOrder known, EngineOrder order) {
    boolean same =
        known.getBackendServer().equals(order.getBackendServer())
            && known.getKind().equals(order.getKind())
            && known.getRole().equals(order.getRole())
            && known.getModel().equals(order.getModel());
    return same
        ? Answers.accepted(known.getOrderId()).setFencingNumber(known.getFencingNumber())
        : Answers.rejected(known.getOrderId(), "order id was already used for another order");
  }

  private CommandAnswer.Builder placeNew(EngineOrder order, AuthorityArea authority) {
    String engine = order.getBackendServer();
    String id = order.getOrderId();
    Optional<BackendServerRecord> server = fleet.servers().get(engine);
    if (server.isEmpty()) {
      return Answers.rejected(id, "no backend server has the id " + engine);
    }
    EngineOrder.Builder placed = order.toBuilder().clearSettled().clearResult();
    if (server.get().getChecksFencing()) {
      placed.clearOwnerInstance().clearOwnerBoot();
    } else {
      ProcessStart sender = new ProcessStart(order.getOwnerInstance(), order.getOwnerBoot());
      Optional<ProcessStart> owner = owners.get(engine).map(EngineOrdersArea::process);
      if (owner.isPresent() && !owner.get().equals(sender)) {
        return Answers.conflict(id, "the engine is owned by " + owner.get());
      }
      if (!instances.isCurrent(sender)) {
        return Answers.rejected(id, "the owner is not registered: " + sender);
      }
      setOwner(engine, sender);
    }
    placed.setFencingNumber(authority.nextFencingNumber());
    openByEngine = openByEngine.with(engine, placed.build());
    return Answers.accepted(id).setFencingNumber(placed.getFencingNumber());
  }

  private Optional<String> transferFault(String reason, ProcessStart from, ProcessStart to) {
    return switch (reason) {
      case "owner_confirmed" -> Optional.empty();
      case "owner_gone" ->
          instances.current(from.instance()).isEmpty() && instances.hasEnded(from)
              ? Optional.empty()
              : Optional.of("the owner is not retired: " + from);
      case "owner_restarted" ->
          from.instance().equals(to.instance()) && instances.hasEnded(from)
              ? Optional.empty()
              : Optional.of("the new owner is not a restart of the owner " + from);
      default -> Optional.of("unknown reason for a transfer: " + reason);
    };
  }

  private void setOwner(String engine, ProcessStart process) {
    owners =
        owners.with(
            engine,
            EngineOwner.newBuilder()
                .setBackendServer(engine)
                .setInstance(process.instance())
                .setBoot(process.boot())
                .build());
    // An order that is open while its engine changes hands is sent again by the new owner.
    openByEngine
        .get(engine)
        .filter(order -> !order.getOwnerInstance().isEmpty())
        .ifPresent(
            order ->
                openByEngine =
                    openByEngine.with(
                        engine,
                        order.toBuilder()
                            .setOwnerInstance(process.instance())
                            .setOwnerBoot(process.boot())
                            .build()));
  }

  private static ProcessStart process(EngineOwner owner) {
    return new ProcessStart(owner.getInstance(), owner.getBoot());
  }
}
