package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.BackendServer.Capacity;

/**
 * Decides how many regular and preemptible engines of one pool to order in each failure domain.
 * Pure logic; runs on the leader.
 *
 * <p>Preemptible engines cost a fraction of regular ones, so each domain is filled with them up to
 * its maximum. Regular ones are released only when preemptible ones already replace them, and they
 * are retained where preemptible ones are unavailable.
 */
public final class CheapFleetPlanner {

  /**
   * Price of preemptible capacity, as a fraction of the regular price, above which the saving does
   * not justify the risk of losing it.
   */
  private static final double MAXIMUM_CHEAP_PRICE = 0.6;

  /** Time after which the same order is repeated; longer than a new engine takes to be listed. */
  private static final long REORDER_NANOS = TimeUnit.SECONDS.toNanos(7);

  private final Map<OrderKey, Ordered> ordered = new HashMap<>();

  private record OrderKey(FailureDomain domain, Capacity capacity) {}

  private record Ordered(int count, long atNanos) {}

  /**
   * Bounds of a pool in each domain, and the price of its preemptible engines.
   *
   * @param minimumServers minimum number of engines in a domain
   * @param maximumServers maximum number of engines in a domain, regular and preemptible together
   * @param preemptiblePriceRatio price of a preemptible engine as a fraction of the price of a
   *     regular one
   */
  public record EngineBounds(
      int minimumServers, int maximumServers, double preemptiblePriceRatio) {}

  /**
   * Number of engines of a domain that accept work.
   *
   * @param regular number of regular engines
   * @param cheap number of preemptible engines
   */
  public record EngineCounts(int regular, int cheap) {}

  /** Whether there are requests that an exchange of engines would affect. */
  public enum Traffic {
    NONE,
    SOME
  }

  /** Order to set the number of engines of one capacity class in a domain. */
  public record Wanted(FailureDomain domain, Capacity capacity, int count) {}

  /** Returns the orders to place now. */
  public List<Wanted> decide(
      EngineBounds bounds,
      Map<FailureDomain, EngineCounts> present,
      Traffic traffic,
      long nowNanos) {
    List<Wanted> orders = new ArrayList<>();
    if (bounds.preemptiblePriceRatio() > MAXIMUM_CHEAP_PRICE) {
      return orders;
    }
    present.forEach((domain, counts) -> decide(bounds, domain, counts, traffic, nowNanos, orders));
    return orders;
  }

  private void decide(
      EngineBounds bounds,
      FailureDomain domain,
      EngineCounts counts,
      Traffic traffic,
      long nowNanos,
      List<Wanted> orders) {
    Ordered cheapOrder = ordered.get(new OrderKey(domain, Capacity.CHEAP));
    boolean cheapArriving =
        traffic == Traffic.NONE
            && cheapOrder != null
            && nowNanos - cheapOrder.atNanos() < REORDER_NANOS;
    boolean replaced =
        cheapArriving || counts.cheap() >= Math.max(bounds.minimumServers(), counts.regular());
    if (counts.regular() > 0 && replaced) {
      order(new Wanted(domain, Capacity.REGULAR, 0), counts.regular(), nowNanos, orders);
    }
    if (cheapOrder != null && counts.cheap() == 0 && counts.regular() == 0 && !cheapArriving) {
      // Preemptible engines are unavailable; regular ones replace them until they are available.
      int replacements = Math.max(1, bounds.minimumServers());
      order(new Wanted(domain, Capacity.REGULAR, replacements), counts.regular(), nowNanos, orders);
    }
    boolean regularReleased = isOrdered(new Wanted(domain, Capacity.REGULAR, 0));
    int desiredCheap = bounds.maximumServers() - (regularReleased ? 0 : counts.regular());
    order(
        new Wanted(domain, Capacity.CHEAP, Math.max(0, desiredCheap)),
        counts.cheap(),
        nowNanos,
        orders);
  }

  private boolean isOrdered(Wanted target) {
    Ordered last = ordered.get(new OrderKey(target.domain(), target.capacity()));
    return last != null && last.count() == target.count();
  }

  /** Adds an order unless the number is already present or was ordered recently. */
  private void order(Wanted target, int present, long nowNanos, List<Wanted> orders) {
    OrderKey key = new OrderKey(target.domain(), target.capacity());
    Ordered last = ordered.get(key);
    boolean recent =
        last != null && last.count() == target.count() && nowNanos - last.atNanos() < REORDER_NANOS;
    if (present != target.count() && !recent) {
      ordered.put(key, new Ordered(target.count(), nowNanos));
      orders.add(target);
    }
  }
}
