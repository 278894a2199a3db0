package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.SettlePlatformOrder;

/** Orders to the platform; an open purchase counts as capacity that will become available. */
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
    Optional<PlatformOrder> existing = open.get(id).or(() -> settled.get(id));
    if (existing.isPresent()) {
      return isSame(existing.get(), order)
          ? CommandAnswers.accepted(id).setFencingNumber(existing.get().getFencingNumber())
          : CommandAnswers.rejected(id, "order id was already used for another order");
    }
    Optional<CommandAnswer.Builder> rejection = authority.rejection(change.getAuthorityTerm(), id);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (!order.getWantedInAll() && order.getRelease().isEmpty() == (order.getCount() == 0)) {
      return CommandAnswers.rejected(id, "an order either buys backend servers or releases one");
    }
    Optional<PlatformOrder> sameRelease = openRelease(order.getRelease());
    if (sameRelease.isPresent()) {
      return CommandAnswers.conflict(
          id, "release is already ordered by " + sameRelease.get().getOrderId());
    }
    PlatformOrder newOrder =
        order.toBuilder()
            .setFencingNumber(authority.nextFencingNumber())
            .clearSettled()
            .clearResult()
            .build();
    open = open.with(id, newOrder);
    return CommandAnswers.accepted(id).setFencingNumber(newOrder.getFencingNumber());
  }

  CommandAnswer.Builder settle(SettlePlatformOrder change, AuthorityArea authority) {
    String id = change.getOrderId();
    if (settled.get(id).isPresent()) {
      return CommandAnswers.accepted(id);
    }
    Optional<CommandAnswer.Builder> rejection = authority.rejection(change.getAuthorityTerm(), id);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    Optional<PlatformOrder> order = open.get(id);
    if (order.isEmpty()) {
      return CommandAnswers.rejected(id, "no open platform order has the id " + id);
    }
    open = open.without(id);
    settled.add(id, order.get().toBuilder().setSettled(true).setResult(change.getResult()).build());
    return CommandAnswers.accepted(id);
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

  private static boolean isSame(PlatformOrder existing, PlatformOrder order) {
    return existing.getPool().equals(order.getPool())
        && existing.getFailureDomain().equals(order.getFailureDomain())
        && existing.getCapacity().equals(order.getCapacity())
        && existing.getCount() == order.getCount()
        && existing.getWantedInAll() == order.getWantedInAll()
        && existing.getRelease().equals(order.getRelease());
  }
}
