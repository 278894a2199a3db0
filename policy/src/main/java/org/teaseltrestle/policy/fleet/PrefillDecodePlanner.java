package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.EngineRole;

/**
 * Divides the engines of one pool between prefill and decode. Pure logic; runs on the leader.
 *
 * <p>Before any demand is measured, all roles are set at once, since no request is disrupted.
 * Afterwards one engine changes at a time, and only if the number of prefill engines has deviated
 * from the target for some time.
 */
public final class PrefillDecodePlanner {

  /** Fraction of prefill engines before any demand is measured. */
  private static final double INITIAL_PREFILL_FRACTION = 0.6;

  /** Time for which the deviation from the target must persist before an engine changes. */
  private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(8);

  /**
   * Time until the fleet list shows an ordered change: duration of the change plus lag of the list.
   */
  private static final long PENDING_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final int ENGINES_PER_DEVIATION = 8;

  /**
   * Factor by which the decode demand is weighted against the prefill demand, so that decode
   * engines run at a lower utilization.
   */
  private static final double DECODE_HEADROOM = 1.5;

  private final Map<BackendServerId, Pending> pending = new HashMap<>();
  private long deviationSinceNanos = Long.MAX_VALUE;

  private record Pending(EngineRole role, long untilNanos) {}

  /**
   * State of one engine.
   *
   * @param role {@link EngineRole#PREFILL_ONLY} or {@link EngineRole#DECODE}
   */
  public record Engine(BackendServerId id, FailureDomain domain, EngineRole role) {}

  /** Order to change an engine's role. */
  public record RoleAssignment(BackendServerId engine, EngineRole role) {}

  /**
   * Demand for the pool; both values are 0 until it is measured.
   *
   * @param prefillEngines number of engines that prefill would fully utilize
   * @param decodeEngines number of engines that decode would fully utilize
   */
  public record Demand(double prefillEngines, double decodeEngines) {

    boolean isMeasured() {
      return prefillEngines + decodeEngines > 0;
    }
  }

  /** Returns the changes to order now. */
  public List<RoleAssignment> decide(Demand demand, List<Engine> listed, long nowNanos) {
    pending.values().removeIf(change -> nowNanos - change.untilNanos() >= 0);
    List<Engine> engines = new ArrayList<>();
    for (Engine engine : listed) {
      Pending changing = pending.get(engine.id());
      engines.add(
          changing == null ? engine : new Engine(engine.id(), engine.domain(), changing.role()));
    }
    int currentPrefillEngines =
        (int) engines.stream().filter(PrefillDecodePlanner::isPrefillEngine).count();
    int deviation = targetPrefillEngines(demand, engines.size()) - currentPrefillEngines;
    // Covers the error of the measured demand; each change makes an engine unavailable and empties
    // its cache.
    int toleratedDeviation = demand.isMeasured() ? 1 + engines.size() / ENGINES_PER_DEVIATION : 0;
    if (Math.abs(deviation) <= toleratedDeviation) {
      deviationSinceNanos = Long.MAX_VALUE;
      return List.of();
    }
    if (demand.isMeasured() && !hasPersisted(nowNanos)) {
      return List.of();
    }
    int count = demand.isMeasured() ? 1 : Math.abs(deviation);
    return assignRole(
        engines, deviation > 0 ? EngineRole.PREFILL_ONLY : EngineRole.DECODE, count, nowNanos);
  }

  private boolean hasPersisted(long nowNanos) {
    if (deviationSinceNanos == Long.MAX_VALUE) {
      deviationSinceNanos = nowNanos;
    }
    return nowNanos - deviationSinceNanos >= HOLD_NANOS;
  }

  private static int targetPrefillEngines(Demand demand, int engines) {
    if (engines < 2) {
      return 0;
    }
    double prefillFraction = INITIAL_PREFILL_FRACTION;
    if (demand.isMeasured()) {
      double decode = DECODE_HEADROOM * demand.decodeEngines();
      prefillFraction = demand.prefillEngines() / (demand.prefillEngines() + decode);
    }
    return Math.max(1, Math.min(engines - 1, (int) Math.round(prefillFraction * engines)));
  }

  private List<RoleAssignment> assignRole(
      List<Engine> engines, EngineRole role, int count, long nowNanos) {
    List<RoleAssignment> assignments = new ArrayList<>();
    List<Engine> current = new ArrayList<>(engines);
    for (int i = 0; i < count; i++) {
      Engine chosen = choose(current, role);
      if (chosen == null) {
        return assignments;
      }
      current.remove(chosen);
      current.add(new Engine(chosen.id(), chosen.domain(), role));
      pending.put(chosen.id(), new Pending(role, nowNanos + PENDING_NANOS));
      assignments.add(new RoleAssignment(chosen.id(), role));
    }
    deviationSinceNanos = Long.MAX_VALUE;
    return assignments;
  }

  /**
   * Chooses an engine of the domain with the most engines in the other role, so that each domain
   * keeps both roles.
   */
  private static @Nullable Engine choose(List<Engine> engines, EngineRole role) {
    Map<FailureDomain, Integer> otherRoleCounts = new HashMap<>();
    for (Engine engine : engines) {
      if (engine.role() != role) {
        otherRoleCounts.merge(engine.domain(), 1, Integer::sum);
      }
    }
    return engines.stream()
        .filter(engine -> engine.role() != role)
        .max(
            Comparator.<Engine>comparingInt(
                    engine -> otherRoleCounts.getOrDefault(engine.domain(), 0))
                .thenComparing(Engine::id))
        .orElse(null);
  }

  private static boolean isPrefillEngine(Engine engine) {
    return engine.role() == EngineRole.PREFILL_ONLY;
  }
}
