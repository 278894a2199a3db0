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
    Optional<EngineOrder> existing =
        open.filter(o -> o.getOrderId().equals(order.getOrderId()))
            .or(() -> settled.get(order.getOrderId()));
    if (existing.isPresent()) {
      return answerExisting(existing.get(), order);
    }
    Optional<CommandAnswer.Builder> rejection =
        authority.rejection(change.getAuthorityTerm(), order.getOrderId());
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (open.isPresent()) {
      return CommandAnswers.conflict(
          order.getOrderId(), "the engine has the open order " + open.get().getOrderId());
    }
    return placeNew(order, authority);
  }

  CommandAnswer.Builder settle(SettleEngineOrder change, AuthorityArea authority) {
    String id = change.getOrderId();
    if (settled.get(id).isPresent()) {
      return CommandAnswers.accepted(id);
    }
    Optional<CommandAnswer.Builder> rejection = authority.rejection(change.getAuthorityTerm(), id);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    Optional<EngineOrder> open =
        openByEngine.values().stream().filter(o -> o.getOrderId().equals(id)).findFirst();
    if (open.isEmpty()) {
      return CommandAnswers.rejected(id, "no open engine order has the id " + id);
    }
    String engine = open.get().getBackendServer();
    openByEngine = openByEngine.without(engine);
    settled.add(id, open.get().toBuilder().setSettled(true).setResult(change.getResult()).build());
    removeOwnerOfRemovedEngine(engine);
    return CommandAnswers.accepted(id);
  }

  CommandAnswer.Builder transfer(TransferEngineOwnership change, AuthorityArea authority) {
    String engine = change.getBackendServer();
    ProcessStart to = new ProcessStart(change.getToInstance(), change.getToBoot());
    Optional<ProcessStart> owner = owners.get(engine).map(EngineOrdersArea::process);
    if (owner.isEmpty()) {
      return CommandAnswers.rejected(engine, "the engine has no owner");
    }
    if (owner.get().equals(to)) {
      return CommandAnswers.accepted(engine);
    }
    ProcessStart from = new ProcessStart(change.getFromInstance(), change.getFromBoot());
    if (!owner.get().equals(from)) {
      return CommandAnswers.conflict(engine, "the engine is owned by " + owner.get());
    }
    if (!instances.isCurrent(to)) {
      return CommandAnswers.rejected(engine, "the new owner is not registered: " + to);
    }
    Optional<String> error = transferError(change.getReason(), from, to);
    if (error.isPresent()) {
      return CommandAnswers.rejected(engine, error.get());
    }
    setOwner(engine, to);
    transferOpenOrder(engine, to, authority);
    return CommandAnswers.accepted(engine);
  }

  /** Removes the owner of an engine that left the fleet, unless a call to it may be in progress. */
  void removeOwnerOfRemovedEngine(String engine) {
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

  private static CommandAnswer.Builder answerExisting(EngineOrder existing, EngineOrder order) {
    boolean same =
        existing.getBackendServer().equals(order.getBackendServer())
            && existing.getKind().equals(order.getKind())
            && existing.getRole().equals(order.getRole())
            && existing.getModel().equals(order.getModel());
    return same
        ? CommandAnswers.accepted(existing.getOrderId())
            .setFencingNumber(existing.getFencingNumber())
        : CommandAnswers.rejected(
            existing.getOrderId(), "order id was already used for another order");
  }

  private CommandAnswer.Builder placeNew(EngineOrder order, AuthorityArea authority) {
    String engine = order.getBackendServer();
    String id = order.getOrderId();
    Optional<BackendServerRecord> server = fleet.servers().get(engine);
    if (server.isEmpty()) {
      return CommandAnswers.rejected(id, "no backend server has the id " + engine);
    }
    EngineOrder.Builder newOrder = order.toBuilder().clearSettled().clearResult();
    if (server.get().getChecksFencing()) {
      newOrder.clearOwnerInstance().clearOwnerBoot();
    } else {
      ProcessStart sender = new ProcessStart(order.getOwnerInstance(), order.getOwnerBoot());
      Optional<ProcessStart> owner = owners.get(engine).map(EngineOrdersArea::process);
      if (owner.isPresent() && !owner.get().equals(sender)) {
        return CommandAnswers.conflict(id, "the engine is owned by " + owner.get());
      }
      if (!instances.isCurrent(sender)) {
        return CommandAnswers.rejected(id, "the owner is not registered: " + sender);
      }
      setOwner(engine, sender);
    }
    newOrder.setFencingNumber(authority.nextFencingNumber());
    openByEngine = openByEngine.with(engine, newOrder.build());
    return CommandAnswers.accepted(id).setFencingNumber(newOrder.getFencingNumber());
  }

  private Optional<String> transferError(String reason, ProcessStart from, ProcessStart to) {
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
  }

  /**
   * An order that is open while the ownership is transferred is sent again by the new owner, under
   * a fencing number that the earlier owner never used.
   */
  private void transferOpenOrder(String engine, ProcessStart to, AuthorityArea authority) {
    openByEngine
        .get(engine)
        .filter(order -> !order.getOwnerInstance().isEmpty())
        .ifPresent(
            order ->
                openByEngine =
                    openByEngine.with(
                        engine,
                        order.toBuilder()
                            .setOwnerInstance(to.instance())
                            .setOwnerBoot(to.boot())
                            .setFencingNumber(authority.nextFencingNumber())
                            .build()));
  }

  private static ProcessStart process(EngineOwner owner) {
    return new ProcessStart(owner.getInstance(), owner.getBoot());
  }
}
