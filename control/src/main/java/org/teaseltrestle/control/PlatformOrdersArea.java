package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.SettlePlatformOrder;

/** Orders to the platform; an open purchase counts as capacity on its way. */
final class PlatformOrdersArea {

  private static final int SETTLED_CAPACITY = 1_024;

  private PersistentMap<String, PlatformOrder> open = PersistentMap.empty();
  private final BoundedHistory<PlatformOrder> settled = new BoundedHistory<>(SETTLED_CAPACITY);

  PersistentMap<String, PlatformOrder> open() {
    return open;
  }

  CommandAnswer.Builder place(PlacePlatformOrder change, AuthorityArea authority) {
    PlatformOrder order = change.getOrder();
    String id = order.getOrderId();
    Optional<PlatformOrder> known = open.get(id).or(() -> settled.get(id));
    if (known.isPresent()) {
      return isSame(known.get(), order)
          ? Answers.accepted(id).setFencingNumber(known.get().getFencingNumber())
          : Answers.rejected(id, "order id was already used for another order");
    }
    Optional<CommandAnswer.Builder> refusal = authority.refusal(change.getAuthorityTerm(), id);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    if (!order.getWantedInAll() && order.getRelease().isEmpty() == (order.getCount() == 0)) {
      return Answers.rejected(id, "an order either buys backend servers or releases one");
    }
    Optional<PlatformOrder> sameRelease = openRelease(order.getRelease());
    if (sameRelease.isPresent()) {
      return Answers.conflict(
          id, "release is already ordered by " + sameRelease.get().getOrderId());
    }
    PlatformOrder placed =
        order.toBuilder()
            .setFencingNumber(authority.nextFencingNumber())
            .clearSettled()
            .clearResult()
            .build();
    open = open.with(id, placed);
    return Answers.accepted(id).setFencingNumber(placed.getFencingNumber());
  }

  CommandAnswer.Builder settle(SettlePlatformOrder change, AuthorityArea authority) {
    String id = change.getOrderId();
    if (settled.get(id).isPresent()) {
      return Answers.accepted(id);
    }
    Optional<CommandAnswer.Builder> refusal = authority.refusal(change.getAuthorityTerm(), id);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    Optional<PlatformOrder> order = open.get(id);
    if (order.isEmpty()) {
      return Answers.rejected(id, "no open platform order has the id " + id);
    }
    open = open.without(id);
    settled.add(id, order.get().toBuilder().setSettled(true).setResult(change.getResult()).build());
    return Answers.accepted(id);
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot
        .addAllOpenPlatformOrders(open.values())
        .addAllSettledPlatformOrders(settled.oldestFirst());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getOpenPlatformOrdersList().forEach(o -> open = open.with(o.getOrderId(), o));
    snapshot.getSettledPlatformOrdersList().forEach(o -> settled.add(o.getOrderId(), o));
  }

  private Optional<PlatformOrder> openRelease(String server) {
    return open.values().stream()
        .filter(order -> !server.isEmpty() && order.getRelease().equals(server))
        .findFirst();
  }

  private static boolean isSame(PlatformOrder known, PlatformOrder order) {
    return known.getPool().equals(order.getPool())
        && known.getFailureDomain().equals(order.getFailureDomain())
        && known.getCapacity().equals(order.getCapacity())
        && known.getCount() == order.getCount()
        && known.getWantedInAll() == order.getWantedInAll()
        && known.getRelease().equals(order.getRelease());
  }
}
