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
 * Fits the roles of a pool's engines to the mix of prefill and decode work. Pure; runs on the
 * leader, once a second or so, with one call for each pool.
 *
 * <p>The controller looks for the single change that lowers the pool's peak utilization most. It
 * makes the change only if the gain, over the time that a mix lasts, outweighs the engine's
 * absence. An engine changes at most once per swing; a swing ends when the wanted direction turns
 * round.
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
   * @param leastUtilization peak utilization below which roles stay: there is nothing to gain
   * @param leastGain decrease of peak utilization, as a ratio, that a change must bring
   * @param holdSeconds time for which the gain must be seen before a change
   * @param changeSeconds time that a change takes an engine away
   * @param horizonSeconds time for which a mix is expected to last
   * @param changingPart part of a pool that may be changing at once; at least one engine may
   * @param mixedEfficiency work of a mixed engine compared with one in the suited role
   * @param runningPerEngine requests that one engine can run
   */
  public record Settings(
      double smoothingSeconds,
      double leastUtilization,
      double leastGain,
      double holdSeconds,
      double changeSeconds,
      double horizonSeconds,
      double changingPart,
      double mixedEfficiency,
      int runningPerEngine) {

    /** Default settings. */
    public static final Settings DEFAULT = new Settings(10, 0.6, 0.1, 5, 8, 120, 0.1, 0.85, 64);
  }

  /**
   * Demand for one pool, summed over all entry instances.
   *
   * @param prefillTokensPerSecond prompt tokens asked for that no cache holds
   * @param decodeTokensPerSecond output tokens asked for
   * @param queuedPromptTokens prompt tokens that wait in entry instances and engines
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
   * @param role role; {@link EngineRole#CHANGING} while an order is under way
   * @param running requests running
   * @param mayChange false while the engine leaves, drains or cannot take orders
   */
  public record Engine(BackendServerId id, EngineRole role, int running, boolean mayChange) {}

  /** Order to change an engine's role, after its running requests have ended. */
  public record RoleChange(BackendServerId engine, EngineRole role) {}

  /** Returns the role changes to order now. */
  public List<RoleChange> decide(Demand demand, List<Engine> engines, long nowNanos) {
    if (mode == PolicyConfiguration.Roles.STATIC || engines.isEmpty()) {
      return List.of();
    }
    PoolState pool = pools.computeIfAbsent(demand.pool(), id -> new PoolState());
    pool.smooth(demand, nowNanos, settings.smoothingSeconds());
    Set<BackendServerId> present = new HashSet<>();
    engines.forEach(engine -> present.add(engine.id()));
    pool.changedInSwing.retainAll(present);
    Counts counts = Counts.of(engines);
    Move move = bestMove(pool, counts, engines);
    if (move == null) {
      pool.wantedSinceNanos = Long.MAX_VALUE;
      return List.of();
    }
    if (!pool.wants(move.direction(), nowNanos, settings.holdSeconds())
        || counts.changing() >= Math.max(1, (int) (settings.changingPart() * engines.size()))
        || !leavesEnough(pool, counts, engines, move)) {
      return List.of();
    }
    pool.changedInSwing.add(move.engine().id());
    pool.wantedSinceNanos = Long.MAX_VALUE;
    return List.of(new RoleChange(move.engine().id(), move.to()));
  }

  /** Forgets pools that are no longer in the lists. */
  public void retain(Set<PoolId> current) {
    List<PoolId> gone = new ArrayList<>(pools.keySet());
    gone.removeAll(current);
    gone.forEach(pools::remove);
  }

  private @Nullable Move bestMove(PoolState pool, Counts counts, List<Engine> engines) {
    double now = counts.utilization(pool, settings.mixedEfficiency());
    if (now < settings.leastUtilization()) {
      return null;
    }
    Move best = null;
    double bestUtilization = now * (1 - settings.leastGain());
    for (EngineRole from : Counts.ROLES) {
      for (EngineRole to : Counts.ROLES) {
        int direction = Integer.signum(Move.rank(to) - Move.rank(from));
        Engine engine = direction == 0 ? null : leastBusy(engines, from, pool, direction);
        if (engine == null) {
          continue;
        }
        double after = counts.moved(from, to).utilization(pool, settings.mixedEfficiency());
        if (after < bestUtilization && paysOff(now - after, counts.total())) {
          best = new Move(engine, from, to);
          bestUtilization = after;
        }
      }
    }
    return best;
  }

  /** Compares engine-seconds gained over the horizon with those lost by the change. */
  private boolean paysOff(double gain, int engines) {
    return gain * engines * settings.horizonSeconds() > settings.changeSeconds();
  }

  /** Returns whether the others can carry the running requests while the engine is away. */
  private boolean leavesEnough(PoolState pool, Counts counts, List<Engine> engines, Move move) {
    int running = 0;
    int others = 0;
    for (Engine engine : engines) {
      running += engine.running();
      boolean serves = engine.role() != EngineRole.CHANGING && engine.mayChange();
      others += serves && !engine.id().equals(move.engine().id()) ? 1 : 0;
    }
    if (others == 0 || running > others * settings.runningPerEngine()) {
      return false;
    }
    // Each kind of work must still have engines that can do it.
    Counts without = counts.without(move.from());
    boolean prefill = pool.prefill <= 0 || without.prefill() + without.mixed() > 0;
    boolean decode = pool.decode <= 0 || without.decode() + without.mixed() > 0;
    return prefill && decode;
  }

  private static @Nullable Engine leastBusy(
      List<Engine> engines, EngineRole role, PoolState pool, int direction) {
    Engine least = null;
    for (Engine engine : engines) {
      if (engine.role() == role
          && engine.mayChange()
          && pool.mayChange(engine.id(), direction)
          && (least == null || engine.running() < least.running())) {
        least = engine;
      }
    }
    return least;
  }

  /** A change of one engine's role; the direction is positive towards prefill. */
  private record Move(Engine engine, EngineRole from, EngineRole to) {
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

  /** Engines by role. */
  private record Counts(int prefill, int decode, int mixed, int changing) {

    static final List<EngineRole> ROLES =
        List.of(EngineRole.PREFILL, EngineRole.DECODE, EngineRole.MIXED);

    static Counts of(List<Engine> engines) {
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

    Counts moved(EngineRole from, EngineRole to) {
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
     * Returns the lowest utilization at which the work fits: suited engines take their own kind,
     * mixed ones take the rest.
     */
    double utilization(PoolState pool, double mixedEfficiency) {
      double capacity = mixed * mixedEfficiency;
      double both = (pool.prefill + pool.decode) / Math.max(1e-9, prefill + decode + capacity);
      double prefillOnly = pool.prefill / Math.max(1e-9, prefill + capacity);
      double decodeOnly = pool.decode / Math.max(1e-9, decode + capacity);
      return Math.max(both, Math.max(prefillOnly, decodeOnly));
    }
  }

  /** Smoothed demand of a pool, in engines, and what was changed in the present swing. */
  private static final class PoolState {

    /** Time in which queued prompts are to be worked off. */
    private static final double QUEUE_SECONDS = 10;

    double prefill;
    double decode;
    long smoothedAtNanos = Long.MIN_VALUE;
    int direction;
    int wantedDirection;
    long wantedSinceNanos = Long.MAX_VALUE;
    final Set<BackendServerId> changedInSwing = new HashSet<>();

    void smooth(Demand demand, long nowNanos, double smoothingSeconds) {
      double wantedPrefill =
          (demand.prefillTokensPerSecond() + demand.queuedPromptTokens() / QUEUE_SECONDS)
              / demand.enginePrefillTokensPerSecond();
      double wantedDecode = demand.decodeTokensPerSecond() / demand.engineDecodeTokensPerSecond();
      boolean first = smoothedAtNanos == Long.MIN_VALUE;
      double seconds = first ? 0 : (nowNanos - smoothedAtNanos) / NANOS_PER_SECOND;
      double newest = first ? 1 : 1 - Math.exp(-seconds / smoothingSeconds);
      prefill += newest * (wantedPrefill - prefill);
      decode += newest * (wantedDecode - decode);
      smoothedAtNanos = nowNanos;
    }

    /** An engine changed in this swing may change only the other way, in the next swing. */
    boolean mayChange(BackendServerId engine, int wanted) {
      return wanted != direction || !changedInSwing.contains(engine);
    }

    /**
     * Notes the wanted direction; returns whether it has been wanted for long enough. Only then can
     * it begin a new swing, so that a short fluctuation does not.
     */
    boolean wants(int wanted, long nowNanos, double holdSeconds) {
      if (wanted != wantedDirection || wantedSinceNanos == Long.MAX_VALUE) {
        wantedDirection = wanted;
        wantedSinceNanos = nowNanos;
      }
      if (nowNanos - wantedSinceNanos < holdSeconds * NANOS_PER_SECOND) {
        return false;
      }
      if (direction != wanted) {
        direction = wanted;
        changedInSwing.clear();
      }
      return true;
    }
  }
}
