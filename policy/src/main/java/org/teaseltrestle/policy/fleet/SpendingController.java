package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.policy.PolicyConfiguration;

/**
 * Scales a pool by ordering and releasing backend servers. Pure logic; runs on the leader, with one
 * call per pool.
 *
 * <p>Purchases follow the demand forecast for the time at which the servers arrive, and are made at
 * once. Releases wait until the demand has been lower for some time, and then proceed one server at
 * a time. Orders that have not arrived count as capacity, so a slow delivery causes no second
 * purchase.
 */
public final class SpendingController {

  private static final double NANOS_PER_SECOND = 1e9;

  /** Cost relative to the cheapest mix up to which the current mix is kept. */
  private static final double MAXIMUM_KEPT_COST_RATIO = 1.1;

  private final PolicyConfiguration.Spending mode;
  private final Settings settings;
  private final Map<PoolId, PoolState> pools = new HashMap<>();

  /** Creates a controller. */
  public SpendingController(PolicyConfiguration.Spending mode, Settings settings) {
    this.mode = mode;
    this.settings = settings;
  }

  /**
   * Settings of the controller.
   *
   * @param smoothingSeconds time over which demand is averaged
   * @param trendSeconds time over which the trend is averaged
   * @param targetUtilization utilization for which servers are ordered
   * @param promisedUtilization maximum utilization at which the service level is still met
   * @param holdSeconds time for which a surplus must persist before a release
   * @param releaseSeconds minimum time between two releases
   * @param avoidSeconds time for which no preemptible server is ordered in a domain that reclaimed
   *     one
   * @param preemptiblePriceRatio price of a preemptible server as a fraction of the price of a
   *     regular one
   */
  public record Settings(
      double smoothingSeconds,
      double trendSeconds,
      double targetUtilization,
      double promisedUtilization,
      double holdSeconds,
      double releaseSeconds,
      double avoidSeconds,
      double preemptiblePriceRatio) {

    /** Default settings. */
    public static final Settings DEFAULT = new Settings(15, 60, 0.7, 0.95, 120, 30, 600, 0.4);
  }

  /**
   * Demand for one pool and its bounds.
   *
   * @param demand requested work, as the number of servers that it would fully utilize
   * @param cheapFraction fraction of the work that may run on preemptible capacity, 0 to 1
   * @param minimumServers minimum number of servers, all of them regular
   * @param maximumServers maximum number of servers paid for at once
   * @param arrivalSeconds time from an order until the server can accept requests
   * @param domains failure domains in which servers can be ordered
   */
  public record Demand(
      PoolId pool,
      double demand,
      double cheapFraction,
      int minimumServers,
      int maximumServers,
      double arrivalSeconds,
      Set<FailureDomain> domains) {

    /** Copies the domains. */
    public Demand {
      domains = Set.copyOf(domains);
    }
  }

  /** A server that is paid for, with the number of its running requests. */
  public record BilledServer(BackendServer server, int running) {}

  /** An order that has not arrived. */
  public record OutstandingOrder(FailureDomain failureDomain, Capacity capacity, int count) {}

  /** An order to the platform. */
  public sealed interface Decision {

    /** Orders servers. */
    record Purchase(PoolId pool, FailureDomain failureDomain, Capacity capacity, int count)
        implements Decision {}

    /** Releases a server after it has been drained. */
    record Release(BackendServerId server) implements Decision {}
  }

  /**
   * Returns the orders to place now.
   *
   * @param outstanding all purchases that have not arrived, including those decided last
   */
  public List<Decision> decide(
      Demand demand,
      List<BilledServer> servers,
      List<OutstandingOrder> outstanding,
      long nowNanos) {
    if (mode == PolicyConfiguration.Spending.STATIC) {
      return List.of();
    }
    PoolState pool = pools.computeIfAbsent(demand.pool(), id -> new PoolState());
    pool.smooth(demand.demand(), nowNanos, settings);
    pool.recordReclaimed(servers, nowNanos, settings);
    Holdings holdings = Holdings.of(servers, outstanding, pool.released);
    Target target = target(demand, pool, nowNanos);
    boolean mayReplace = pool.mayReplace(holdings.total() >= target.total(), nowNanos, settings);
    List<Decision> purchases = purchases(demand, holdings, target, mayReplace);
    if (!purchases.isEmpty() || !outstanding.isEmpty()) {
      pool.surplusSinceNanos = Long.MAX_VALUE;
      return purchases;
    }
    return release(pool, servers, holdings, target, nowNanos);
  }

  /** Drops the state of pools that are no longer listed. */
  public void retain(Set<PoolId> current) {
    pools.keySet().retainAll(current);
  }

  private Target target(Demand demand, PoolState pool, long nowNanos) {
    double forecast = Math.max(pool.level, pool.level + pool.trend * demand.arrivalSeconds());
    int total = clampToBounds(serversFor(forecast, settings.targetUtilization()), demand);
    int guaranteed = Math.min(total, serversFor(forecast, settings.promisedUtilization()));
    int regularOnly =
        serversFor(forecast * (1 - demand.cheapFraction()), settings.targetUtilization());
    int minimumRegular = Math.min(total, Math.max(demand.minimumServers(), regularOnly));
    List<FailureDomain> domains = new ArrayList<>();
    for (FailureDomain domain : new TreeSet<>(demand.domains())) {
      if (nowNanos >= pool.avoidUntil.getOrDefault(domain, Long.MIN_VALUE)) {
        domains.add(domain);
      }
    }
    FleetMix.Requirements requirements =
        new FleetMix.Requirements(
            total, guaranteed, minimumRegular, demand.maximumServers(), domains.size());
    FleetMix mix = FleetMix.cheapest(requirements, settings.preemptiblePriceRatio());
    FleetMix current = pool.mix;
    // The current mix is kept if it costs little more, since each replacement means paying for two
    // servers for some time.
    if (current == null
        || !current.satisfies(requirements)
        || current.cost(settings.preemptiblePriceRatio())
            > MAXIMUM_KEPT_COST_RATIO * mix.cost(settings.preemptiblePriceRatio())) {
      pool.mix = mix;
    } else {
      mix = current;
    }
    Map<FailureDomain, Integer> cheap = new TreeMap<>();
    for (int i = 0; i < domains.size(); i++) {
      cheap.put(domains.get(i), mix.cheapInDomain(i, domains.size()));
    }
    return new Target(mix.regular(), cheap);
  }

  private static int serversFor(double demand, double utilization) {
    return (int) Math.ceil(demand / utilization - 1e-9);
  }

  private static int clampToBounds(int servers, Demand demand) {
    return Math.max(demand.minimumServers(), Math.min(demand.maximumServers(), servers));
  }

  /**
   * Returns the purchases to make.
   *
   * @param mayReplace whether preemptible servers may be bought to replace regular ones, which are
   *     released later
   */
  private static List<Decision> purchases(
      Demand demand, Holdings holdings, Target target, boolean mayReplace) {
    Map<FailureDomain, Integer> cheap = new TreeMap<>();
    Map<FailureDomain, Integer> regular = new TreeMap<>();
    int total = holdings.total();
    for (Map.Entry<FailureDomain, Integer> entry : target.cheap().entrySet()) {
      int missing = entry.getValue() - holdings.count(entry.getKey(), Capacity.CHEAP);
      int limit = mayReplace ? demand.maximumServers() : target.total();
      int count = Math.min(missing, limit - total);
      if (count > 0) {
        cheap.put(entry.getKey(), count);
        total += count;
      }
    }
    int regularHeld = holdings.countAll(Capacity.REGULAR);
    while (!demand.domains().isEmpty()
        && total < demand.maximumServers()
        && (total < target.total() || regularHeld < target.regular())) {
      FailureDomain domain = holdings.fewestRegular(demand.domains(), regular);
      regular.merge(domain, 1, Integer::sum);
      total++;
      regularHeld++;
    }
    List<Decision> purchases = new ArrayList<>();
    cheap.forEach(
        (domain, count) ->
            purchases.add(new Decision.Purchase(demand.pool(), domain, Capacity.CHEAP, count)));
    regular.forEach(
        (domain, count) ->
            purchases.add(new Decision.Purchase(demand.pool(), domain, Capacity.REGULAR, count)));
    return purchases;
  }

  private List<Decision> release(
      PoolState pool, List<BilledServer> servers, Holdings holdings, Target target, long nowNanos) {
    BilledServer surplus = surplus(servers, holdings, target, pool.released);
    if (surplus == null) {
      pool.surplusSinceNanos = Long.MAX_VALUE;
      return List.of();
    }
    if (pool.surplusSinceNanos == Long.MAX_VALUE) {
      pool.surplusSinceNanos = nowNanos;
    }
    boolean persisted =
        nowNanos - pool.surplusSinceNanos >= settings.holdSeconds() * NANOS_PER_SECOND;
    boolean intervalElapsed =
        pool.releasedAtNanos == Long.MIN_VALUE
            || nowNanos - pool.releasedAtNanos >= settings.releaseSeconds() * NANOS_PER_SECOND;
    if (!persisted || !intervalElapsed) {
      return List.of();
    }
    pool.releasedAtNanos = nowNanos;
    pool.released.add(surplus.server().id());
    return List.of(new Decision.Release(surplus.server().id()));
  }

  /**
   * Returns the least busy server of the capacity class and domain with the most servers, or null
   * if there is no surplus.
   */
  private static @Nullable BilledServer surplus(
      List<BilledServer> servers, Holdings holdings, Target target, Set<BackendServerId> released) {
    if (holdings.total() <= target.total()) {
      return null;
    }
    boolean regularIsSurplus = holdings.countAll(Capacity.REGULAR) > target.regular();
    BilledServer best = null;
    for (BilledServer billed : servers) {
      BackendServer server = billed.server();
      FailureDomain domain = server.failureDomain();
      boolean cheap = server.capacity() == Capacity.CHEAP;
      boolean isSurplus =
          cheap
              ? holdings.count(domain, Capacity.CHEAP) > target.cheap().getOrDefault(domain, 0)
              : regularIsSurplus;
      boolean live = server.state() == State.LIVE && !released.contains(server.id());
      if (live && isSurplus && isBetter(billed, best, holdings)) {
        best = billed;
      }
    }
    return best;
  }

  private static boolean isBetter(
      BilledServer billed, @Nullable BilledServer best, Holdings holdings) {
    if (best == null) {
      return true;
    }
    int held = holdings.count(billed.server().failureDomain(), billed.server().capacity());
    int bestHeld = holdings.count(best.server().failureDomain(), best.server().capacity());
    return held > bestHeld || (held == bestHeld && billed.running() < best.running());
  }

  /** Target number of regular servers, and of preemptible ones by domain. */
  private record Target(int regular, Map<FailureDomain, Integer> cheap) {
    int total() {
      return regular + cheap.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /** Servers in use or ordered, by capacity class and domain. */
  private record Holdings(Map<FailureDomain, Integer> regular, Map<FailureDomain, Integer> cheap) {

    static Holdings of(
        List<BilledServer> servers,
        List<OutstandingOrder> outstanding,
        Set<BackendServerId> released) {
      Holdings holdings = new Holdings(new TreeMap<>(), new TreeMap<>());
      for (BilledServer billed : servers) {
        // The platform's list lags: a released server remains listed for some time.
        if (billed.server().state() == State.LIVE && !released.contains(billed.server().id())) {
          holdings
              .by(billed.server().capacity())
              .merge(billed.server().failureDomain(), 1, Integer::sum);
        }
      }
      for (OutstandingOrder order : outstanding) {
        holdings.by(order.capacity()).merge(order.failureDomain(), order.count(), Integer::sum);
      }
      return holdings;
    }

    private Map<FailureDomain, Integer> by(Capacity capacity) {
      return capacity == Capacity.CHEAP ? cheap : regular;
    }

    int count(FailureDomain domain, Capacity capacity) {
      return by(capacity).getOrDefault(domain, 0);
    }

    int countAll(Capacity capacity) {
      return by(capacity).values().stream().mapToInt(Integer::intValue).sum();
    }

    int total() {
      return countAll(Capacity.REGULAR) + countAll(Capacity.CHEAP);
    }

    /** Returns the domain with the fewest regular servers, including new orders. */
    FailureDomain fewestRegular(Set<FailureDomain> domains, Map<FailureDomain, Integer> ordered) {
      return new TreeSet<>(domains)
          .stream()
              .min(
                  (left, right) ->
                      Integer.compare(
                          regular.getOrDefault(left, 0) + ordered.getOrDefault(left, 0),
                          regular.getOrDefault(right, 0) + ordered.getOrDefault(right, 0)))
              .orElseThrow();
    }
  }

  /** Smoothed demand with its trend, and the history of purchases and releases of a pool. */
  private static final class PoolState {
    double level;
    double trend;
    @Nullable FleetMix mix;
    long smoothedAtNanos = Long.MIN_VALUE;
    long surplusSinceNanos = Long.MAX_VALUE;
    long metSinceNanos = Long.MAX_VALUE;
    long releasedAtNanos = Long.MIN_VALUE;
    final Set<BackendServerId> released = new TreeSet<>();
    final Map<FailureDomain, Long> avoidUntil = new TreeMap<>();

    void smooth(double demand, long nowNanos, Settings settings) {
      if (smoothedAtNanos == Long.MIN_VALUE) {
        level = demand;
      } else if (nowNanos > smoothedAtNanos) {
        double seconds = (nowNanos - smoothedAtNanos) / NANOS_PER_SECOND;
        double previousLevel = level;
        double levelWeight = 1 - Math.exp(-seconds / settings.smoothingSeconds());
        level += levelWeight * (demand - level);
        double trendWeight = 1 - Math.exp(-seconds / settings.trendSeconds());
        trend += trendWeight * ((level - previousLevel) / seconds - trend);
      }
      smoothedAtNanos = nowNanos;
    }

    /** Returns whether the demand has been met for long enough to permit replacements. */
    boolean mayReplace(boolean met, long nowNanos, Settings settings) {
      if (!met) {
        metSinceNanos = Long.MAX_VALUE;
        return false;
      }
      if (metSinceNanos == Long.MAX_VALUE) {
        metSinceNanos = nowNanos;
      }
      return nowNanos - metSinceNanos >= settings.holdSeconds() * NANOS_PER_SECOND;
    }

    /** Records domains whose preemptible servers are leaving without having been released. */
    void recordReclaimed(List<BilledServer> servers, long nowNanos, Settings settings) {
      Set<BackendServerId> present = new TreeSet<>();
      for (BilledServer billed : servers) {
        BackendServer server = billed.server();
        present.add(server.id());
        if (server.capacity() == Capacity.CHEAP
            && server.state() == State.LEAVING
            && !released.contains(server.id())) {
          long until = nowNanos + (long) (settings.avoidSeconds() * NANOS_PER_SECOND);
          avoidUntil.put(server.failureDomain(), until);
        }
      }
      released.retainAll(present);
    }
  }
}
