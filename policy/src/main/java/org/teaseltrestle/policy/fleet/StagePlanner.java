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
 * Divides the engines of one pool between reading prompts and generating answers. Pure; runs on the
 * leader.
 *
 * <p>Before any demand is measured, all engines are set at once, since no request is disturbed.
 * Afterwards one engine changes at a time, and only if the wanted number has been off for a while.
 */
public final class StagePlanner {

  /** Engines that read prompts before any demand is measured. */
  private static final double INITIAL_PREFILL_PART = 0.6;

  /** Time for which a wanted number must be off before an engine changes. */
  private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Time until an ordered change shows in the list: the change itself and the list's lag. */
  private static final long PENDING_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final int ENGINES_PER_TOLERATED = 8;

  /** Utilization of generating engines that is aimed at, compared with that of the others. */
  private static final double DECODE_HEADROOM = 1.5;

  private final Map<BackendServerId, Pending> pending = new HashMap<>();
  private long offSinceNanos = Long.MAX_VALUE;

  private record Pending(EngineRole role, long untilNanos) {}

  /**
   * State of one engine.
   *
   * @param role {@link EngineRole#PREFILL_ONLY} or {@link EngineRole#DECODE}
   */
  public record Engine(BackendServerId id, FailureDomain domain, EngineRole role) {}

  /** Order to change an engine's role. */
  public record Change(BackendServerId engine, EngineRole role) {}

  /**
   * Demand for the pool.
   *
   * @param prefillEngines engines that reading prompts keeps wholly busy
   * @param decodeEngines engines that generating answers keeps wholly busy
   */
  public record Demand(double prefillEngines, double decodeEngines) {

    boolean isMeasured() {
      return prefillEngines + decodeEngines > 0;
    }
  }

  /** Returns the changes to order now. */
  public List<Change> decide(Demand demand, List<Engine> listed, long nowNanos) {
    pending.values().removeIf(each -> nowNanos - each.untilNanos() >= 0);
    List<Engine> engines = new ArrayList<>();
    for (Engine engine : listed) {
      Pending changing = pending.get(engine.id());
      engines.add(
          changing == null ? engine : new Engine(engine.id(), engine.domain(), changing.role()));
    }
    int readers = (int) engines.stream().filter(StagePlanner::reads).count();
    int off = wanted(demand, engines.size()) - readers;
    // The error of the measured demand; each change takes an engine away and empties its cache.
    int tolerated = demand.isMeasured() ? 1 + engines.size() / ENGINES_PER_TOLERATED : 0;
    if (Math.abs(off) <= tolerated) {
      offSinceNanos = Long.MAX_VALUE;
      return List.of();
    }
    if (demand.isMeasured() && !hasHeld(nowNanos)) {
      return List.of();
    }
    int count = demand.isMeasured() ? 1 : Math.abs(off);
    return change(engines, off > 0 ? EngineRole.PREFILL_ONLY : EngineRole.DECODE, count, nowNanos);
  }

  private boolean hasHeld(long nowNanos) {
    if (offSinceNanos == Long.MAX_VALUE) {
      offSinceNanos = nowNanos;
    }
    return nowNanos - offSinceNanos >= HOLD_NANOS;
  }

  private static int wanted(Demand demand, int engines) {
    if (engines < 2) {
      return 0;
    }
    double part = INITIAL_PREFILL_PART;
    if (demand.isMeasured()) {
      double decode = DECODE_HEADROOM * demand.decodeEngines();
      part = demand.prefillEngines() / (demand.prefillEngines() + decode);
    }
    return Math.max(1, Math.min(engines - 1, (int) Math.round(part * engines)));
  }

  private List<Change> change(List<Engine> engines, EngineRole role, int count, long nowNanos) {
    List<Change> changes = new ArrayList<>();
    List<Engine> current = new ArrayList<>(engines);
    for (int i = 0; i < count; i++) {
      Engine chosen = choose(current, role);
      if (chosen == null) {
        return changes;
      }
      current.remove(chosen);
      current.add(new Engine(chosen.id(), chosen.domain(), role));
      pending.put(chosen.id(), new Pending(role, nowNanos + PENDING_NANOS));
      changes.add(new Change(chosen.id(), role));
    }
    offSinceNanos = Long.MAX_VALUE;
    return changes;
  }

  /** Takes an engine of the domain that has most of the other role, so that each keeps both. */
  private static @Nullable Engine choose(List<Engine> engines, EngineRole role) {
    Map<FailureDomain, Integer> others = new HashMap<>();
    for (Engine engine : engines) {
      if (engine.role() != role) {
        others.merge(engine.domain(), 1, Integer::sum);
      }
    }
    return engines.stream()
        .filter(engine -> engine.role() != role)
        .max(
            Comparator.<Engine>comparingInt(engine -> others.getOrDefault(engine.domain(), 0))
                .thenComparing(Engine::id))
        .orElse(null);
  }

  private static boolean reads(Engine engine) {
    return engine.role() == EngineRole.PREFILL_ONLY;
  }
}
