package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.BackendServer.Capacity;

/**
 * Decides how many regular and cheap engines of one pool are wanted in each failure domain. Pure;
 * runs on the leader.
 *
 * <p>Cheap engines cost a fraction of regular ones, so a domain is filled with them up to its most
 * engines. Regular ones are given back only when cheap ones already serve in their place, and they
 * stay where cheap ones cannot be had.
 */
public final class CheapFleetPlanner {

  /**
   * Price of cheap capacity, as a part of the regular price, above which it is not worth a loss.
   */
  private static final double MAXIMUM_CHEAP_PRICE = 0.6;

  /** Time between two orders for one domain, longer than an engine takes to be listed. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(7);

  private final Map<Subject, Ordered> ordered = new HashMap<>();

  private record Subject(FailureDomain domain, Capacity capacity) {}

  private record Ordered(int count, long atNanos) {}

  /**
   * What a pool may have.
   *
   * @param minimumServers least engines in a domain
   * @param maximumServers most engines in a domain, of both kinds together
   * @param cheapPrice price of a cheap engine as a part of that of a regular one
   */
  public record Range(int minimumServers, int maximumServers, double cheapPrice) {}

  /**
   * Engines of a domain that take work.
   *
   * @param regular regular ones
   * @param cheap cheap ones
   */
  public record Present(int regular, int cheap) {}

  /** Whether requests would miss engines that are exchanged. */
  public enum Traffic {
    NONE,
    SOME
  }

  /** Order of a number of engines. */
  public record Wanted(FailureDomain domain, Capacity capacity, int count) {}

  /** Returns the numbers to order now. */
  public List<Wanted> decide(
      Range range, Map<FailureDomain, Present> present, Traffic traffic, long nowNanos) {
    List<Wanted> orders = new ArrayList<>();
    if (range.cheapPrice() > MAXIMUM_CHEAP_PRICE) {
      return orders;
    }
    present.forEach((domain, now) -> decide(range, domain, now, traffic, nowNanos, orders));
    return orders;
  }

  private void decide(
      Range range,
      FailureDomain domain,
      Present now,
      Traffic traffic,
      long nowNanos,
      List<Wanted> orders) {
    Ordered cheap = ordered.get(new Subject(domain, Capacity.CHEAP));
    boolean comes =
        traffic == Traffic.NONE && cheap != null && nowNanos - cheap.atNanos() < REPEAT_NANOS;
    boolean replaced = comes || now.cheap() >= Math.max(range.minimumServers(), now.regular());
    if (now.regular() > 0 && replaced) {
      order(new Wanted(domain, Capacity.REGULAR, 0), now.regular(), nowNanos, orders);
    }
    if (cheap != null && now.cheap() == 0 && now.regular() == 0 && !comes) {
      // Cheap engines are not to be had: regular ones stand in until they are.
      int standIn = Math.max(1, range.minimumServers());
      order(new Wanted(domain, Capacity.REGULAR, standIn), now.regular(), nowNanos, orders);
    }
    boolean givenBack = isOrdered(new Wanted(domain, Capacity.REGULAR, 0));
    int wanted = range.maximumServers() - (givenBack ? 0 : now.regular());
    order(new Wanted(domain, Capacity.CHEAP, Math.max(0, wanted)), now.cheap(), nowNanos, orders);
  }

  private boolean isOrdered(Wanted wanted) {
    Ordered last = ordered.get(new Subject(wanted.domain(), wanted.capacity()));
    return last != null && last.count() == wanted.count();
  }

  /** Orders a number unless it is there, or was ordered a short time ago. */
  private void order(Wanted wanted, int present, long nowNanos, List<Wanted> orders) {
    Subject subject = new Subject(wanted.domain(), wanted.capacity());
    Ordered last = ordered.get(subject);
    boolean recent =
        last != null && last.count() == wanted.count() && nowNanos - last.atNanos() < REPEAT_NANOS;
    if (present != wanted.count() && !recent) {
      ordered.put(subject, new Ordered(wanted.count(), nowNanos));
      orders.add(wanted);
    }
  }
}
