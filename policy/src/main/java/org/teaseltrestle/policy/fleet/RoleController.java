package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.PolicyConfiguration;

/**
 * Adapts the roles of a pool's engines to the mix of prefill and decode work. Pure logic; runs on
 * the leader about once per second, with one call per pool.
 *
 * <p>The controller looks for the single role change that lowers the pool's peak utilization most.
 * It orders the change only if the gain, over the time for which a mix is expected to last,
 * outweighs the engine's absence. An engine changes at most once per load shift; a new load shift
 * starts when the desired direction, towards prefill or towards decode, reverses.
 */
public final class RoleController {

  private static final double NANOS_PER_SECOND = 1e9;

  private final PolicyConfiguration.Roles mode;
  private final Settings settings;
  private final Map<PoolId, PoolState> pools = new HashMap<>();

  /** Creates a controller. */
  public RoleController(PolicyConfiguration.Roles mode, Settings settings) {
    this.mode = mode;
    this.settings = settings;
  }

  /**
   * Settings of the controller.
   *
   * @param smoothingSeconds time over which demand is averaged
   * @param minimumUtilization peak utilization below which roles are not changed
   * @param minimumGain relative decrease of peak utilization that a change must bring
   * @param holdSeconds time for which the gain must persist before a change
   * @param changeSeconds time for which an engine is unavailable during a change
   * @param horizonSeconds time for which a mix is expected to last
   * @param maximumChangingFraction fraction of a pool that may be changing at once; at least one
   *     engine may
   * @param mixedEfficiency throughput of a mixed engine relative to one in the suited role
   * @param runningPerEngine number of requests that one engine can run
   */
  public record Settings(
      double smoothingSeconds,
      double minimumUtilization,
      double minimumGain,
      double holdSeconds,
      double changeSeconds,
      double horizonSeconds,
      double maximumChangingFraction,
      double mixedEfficiency,
      int runningPerEngine) {

    /** Default settings. */
    public static final Settings DEFAULT = new Settings(10, 0.6, 0.1, 5, 8, 120, 0.1, 0.85, 64);
  }

  /**
   * Demand for one pool, summed over all entry instances.
   *
   * @param prefillTokensPerSecond requested prompt tokens that no cache holds
   * @param decodeTokensPerSecond requested output tokens
   * @param queuedPromptTokens prompt tokens queued in entry instances and engines
   * @param enginePrefillTokensPerSecond prefill rate of an engine that does nothing else
   * @param engineDecodeTokensPerSecond decode rate of an engine that does nothing else
   */
  public record Demand(
      PoolId pool,
      double prefillTokensPerSecond,
      double decodeTokensPerSecond,
      double queuedPromptTokens,
      double enginePrefillTokensPerSecond,
      double engineDecodeTokensPerSecond) {}

  /**
   * State of one engine.
   *
   * @param role current role; {@link EngineRole#CHANGING} while a change is in progress
   * @param running number of running requests
   * @param mayChange false while the engine is leaving, draining or unable to accept orders
   */
  public record Engine(BackendServerId id, EngineRole role, int running, boolean mayChange) {}

  /** Order to change an engine's role once its running requests have ended. */
  public record RoleChange(BackendServerId engine, EngineRole role) {}

  /** Returns the role changes to order now. */
  public List<RoleChange> decide(Demand demand, List<Engine> engines, long nowNanos) {
    if (mode == PolicyConfiguration.Roles.STATIC || engines.isEmpty()) {
      return List.of();
    }
    PoolState pool = pools.computeIfAbsent(demand.pool(), id -> new PoolState());
    pool.smooth(demand, nowNanos, settings.smoothingSeconds());
    Set<BackendServerId> listed = new HashSet<>();
    engines.forEach(engine -> listed.add(engine.id()));
    pool.changedInShift.retainAll(listed);
    Counts counts = Counts.byRole(engines);
    RoleMove move = bestRoleMove(pool, counts, engines);
    if (move == null) {
      pool.desiredSinceNanos = Long.MAX_VALUE;
      return List.of();
    }
    if (!pool.isDesiredLongEnough(move.direction(), nowNanos, settings.holdSeconds())
        || counts.changing()
            >= Math.max(1, (int) (settings.maximumChangingFraction() * engines.size()))
        || !othersSuffice(pool, counts, engines, move)) {
      return List.of();
    }
    pool.changedInShift.add(move.engine().id());
    pool.desiredSinceNanos = Long.MAX_VALUE;
    return List.of(new RoleChange(move.engine().id(), move.to()));
  }

  /** Drops the state of pools that are no longer listed. */
  public void retain(Set<PoolId> current) {
    List<PoolId> removed = new ArrayList<>(pools.keySet());
    removed.removeAll(current);
    removed.forEach(pools::remove);
  }

  private @Nullable RoleMove bestRoleMove(PoolState pool, Counts counts, List<Engine> engines) {
    double currentUtilization = counts.utilization(pool, settings.mixedEfficiency());
    if (currentUtilization < settings.minimumUtilization()) {
      return null;
    }
    RoleMove best = null;
    double bestUtilization = currentUtilization * (1 - settings.minimumGain());
    for (EngineRole from : Counts.ROLES) {
      for (EngineRole to : Counts.ROLES) {
        int direction = Integer.signum(RoleMove.rank(to) - RoleMove.rank(from));
        Engine engine = direction == 0 ? null : leastBusy(engines, from, pool, direction);
        if (engine == null) {
          continue;
        }
        double newUtilization =
            counts.withRoleChanged(from, to).utilization(pool, settings.mixedEfficiency());
        if (newUtilization < bestUtilization
            && paysOff(currentUtilization - newUtilization, counts.total())) {
          best = new RoleMove(engine, from, to);
          bestUtilization = newUtilization;
        }
      }
    }
    return best;
  }

  /** Returns whether the engine-seconds gained over the horizon exceed those lost by the change. */
  private boolean paysOff(double gain, int engines) {
    return gain * engines * settings.horizonSeconds() > settings.changeSeconds();
  }

  /** Returns whether the other engines can serve the running requests during the change. */
  private boolean othersSuffice(
      PoolState pool, Counts counts, List<Engine> engines, RoleMove move) {
    int running = 0;
    int others = 0;
    for (Engine engine : engines) {
      running += engine.running();
      boolean available = engine.role() != EngineRole.CHANGING && engine.mayChange();
      others += available && !engine.id().equals(move.engine().id()) ? 1 : 0;
    }
    if (others == 0 || running > others * settings.runningPerEngine()) {
      return false;
    }
    // Prefill and decode work must each still have engines that can do it.
    Counts without = counts.without(move.from());
    boolean prefill = pool.prefill <= 0 || without.prefill() + without.mixed() > 0;
    boolean decode = pool.decode <= 0 || without.decode() + without.mixed() > 0;
    return prefill && decode;
  }

  private static @Nullable Engine leastBusy(
      List<Engine> engines, EngineRole role, PoolState pool, int direction) {
    Engine leastBusy = null;
    for (Engine engine : engines) {
      if (engine.role() == role
          && engine.mayChange()
          && pool.mayChange(engine.id(), direction)
          && (leastBusy == null || engine.running() < leastBusy.running())) {
        leastBusy = engine;
      }
    }
    return leastBusy;
  }

  /** A change of one engine's role; the direction is positive towards prefill. */
  private record RoleMove(Engine engine, EngineRole from, EngineRole to) {
    int direction() {
      return Integer.signum(rank(to) - rank(from));
    }

    static int rank(EngineRole role) {
      return switch (role) {
        case PREFILL, PREFILL_ONLY -> 1;
        case DECODE -> -1;
        case MIXED, CHANGING -> 0;
      };
    }
  }

  /** Number of engines by role. */
  private record Counts(int prefill, int decode, int mixed, int changing) {

    static final List<EngineRole> ROLES =
        List.of(EngineRole.PREFILL, EngineRole.DECODE, EngineRole.MIXED);

    static Counts byRole(List<Engine> engines) {
      Map<EngineRole, Integer> counts = new HashMap<>();
      engines.forEach(engine -> counts.merge(engine.role(), 1, Integer::sum));
      return new Counts(
          counts.getOrDefault(EngineRole.PREFILL, 0)
              + counts.getOrDefault(EngineRole.PREFILL_ONLY, 0),
          counts.getOrDefault(EngineRole.DECODE, 0),
          counts.getOrDefault(EngineRole.MIXED, 0),
          counts.getOrDefault(EngineRole.CHANGING, 0));
    }

    int total() {
      return prefill + decode + mixed + changing;
    }

    Counts without(EngineRole role) {
      return add(role, -1);
    }

    Counts withRoleChanged(EngineRole from, EngineRole to) {
      return add(from, -1).add(to, 1);
    }

    private Counts add(EngineRole role, int count) {
      return switch (role) {
        case PREFILL, PREFILL_ONLY -> new Counts(prefill + count, decode, mixed, changing);
        case DECODE -> new Counts(prefill, decode + count, mixed, changing);
        case MIXED -> new Counts(prefill, decode, mixed + count, changing);
        case CHANGING -> new Counts(prefill, decode, mixed, changing + count);
      };
    }

    /**
     * Returns the lowest peak utilization at which the engines can do the work: engines with a
     * suited role take work of their kind, mixed ones take the rest.
     */
    double utilization(PoolState pool, double mixedEfficiency) {
      double capacity = mixed * mixedEfficiency;
      double both = (pool.prefill + pool.decode) / Math.max(1e-9, prefill + decode + capacity);
      double prefillOnly = pool.prefill / Math.max(1e-9, prefill + capacity);
      double decodeOnly = pool.decode / Math.max(1e-9, decode + capacity);
      return Math.max(both, Math.max(prefillOnly, decodeOnly));
    }
  }

  /** Smoothed demand of a pool, in engines, and the engines changed in the current load shift. */
  private static final class PoolState {

    /** Time in which queued prompts should be prefilled. */
    private static final double QUEUE_SECONDS = 10;

    double prefill;
    double decode;
    long smoothedAtNanos = Long.MIN_VALUE;
    int direction;
    int desiredDirection;
    long desiredSinceNanos = Long.MAX_VALUE;
    final Set<BackendServerId> changedInShift = new HashSet<>();

    void smooth(Demand demand, long nowNanos, double smoothingSeconds) {
      double newPrefill =
          (demand.prefillTokensPerSecond() + demand.queuedPromptTokens() / QUEUE_SECONDS)
              / demand.enginePrefillTokensPerSecond();
      double newDecode = demand.decodeTokensPerSecond() / demand.engineDecodeTokensPerSecond();
      boolean first = smoothedAtNanos == Long.MIN_VALUE;
      double seconds = first ? 0 : (nowNanos - smoothedAtNanos) / NANOS_PER_SECOND;
      double weight = first ? 1 : 1 - Math.exp(-seconds / smoothingSeconds);
      prefill += weight * (newPrefill - prefill);
      decode += weight * (newDecode - decode);
      smoothedAtNanos = nowNanos;
    }

    /** Returns whether an engine may change in this direction; not twice in one load shift. */
    boolean mayChange(BackendServerId engine, int desired) {
      return desired != direction || !changedInShift.contains(engine);
    }

    /**
     * Records the desired direction; returns whether it has been desired for long enough. Only then
     * can it start a new load shift, so that a short fluctuation does not.
     */
    boolean isDesiredLongEnough(int desired, long nowNanos, double holdSeconds) {
      if (desired != desiredDirection || desiredSinceNanos == Long.MAX_VALUE) {
        desiredDirection = desired;
        desiredSinceNanos = nowNanos;
      }
      if (nowNanos - desiredSinceNanos < holdSeconds * NANOS_PER_SECOND) {
        return false;
      }
      if (direction != desired) {
        direction = desired;
        changedInShift.clear();
      }
      return true;
    }
  }
}
