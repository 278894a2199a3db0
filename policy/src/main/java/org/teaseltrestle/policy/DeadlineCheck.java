package org.teaseltrestle.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;

/**
 * Refuses early the requests that cannot be served in time, so that no engine works on responses
 * that arrive too late. Without it goodput collapses under overload: every request waits until just
 * after its deadline.
 */
final class DeadlineCheck {

  /**
   * Fraction of the remaining time that the predicted wait may use; the rest covers prediction
   * errors.
   */
  private static final double USABLE_FRACTION = 0.9;

  /** Amount by which each level of plan priority below the highest reduces that fraction. */
  private static final double PRIORITY_STEP = 0.15;

  private static final int MAXIMUM_STEPS = 4;

  private final CostModel costs;
  private final boolean enabled;

  DeadlineCheck(PolicyConfiguration configuration, CostModel costs) {
    this.costs = costs;
    this.enabled = configuration.queueing() == Queueing.FAIR;
  }

  /**
   * Returns the refusal code for an arriving request, or null if it may wait.
   *
   * @param servers servers that may run the request
   */
  @Nullable RefusalCode refusalAtArrival(
      RequestState request,
      RequestQueue queue,
      DrainRate drainRate,
      List<ServerState> servers,
      long nowNanos) {
    if (!enabled) {
      return null;
    }
    long remaining = request.work.firstTokenDeadlineNanos() - nowNanos;
    if (remaining <= 0) {
      return RefusalCode.DEADLINE_UNREACHABLE;
    }
    if (queue.size() == 0) {
      return null;
    }
    long wait = drainRate.timeFor(queue.workAhead(request.limits), nowNanos);
    if (wait + fastestFirstToken(request, servers) > USABLE_FRACTION * remaining) {
      return RefusalCode.DEADLINE_UNREACHABLE;
    }
    // Only an account with more waiting work than its fair share is shed; otherwise one account of
    // a high priority could exclude all others.
    int step = Math.max(0, Math.min(MAXIMUM_STEPS, request.limits.priority()));
    boolean shed = step > 0 && wait > (USABLE_FRACTION - step * PRIORITY_STEP) * remaining;
    return shed ? RefusalCode.OVERLOAD_SHED : null;
  }

  /**
   * Returns the monotonic time at which a waiting request expires. The baseline ignores deadlines
   * and always waits for the maximum time.
   */
  long queueDeadline(WorkRequest work, long maximumNanos, long nowNanos) {
    long latest = nowNanos + maximumNanos;
    return enabled ? Math.min(latest, work.firstTokenDeadlineNanos()) : latest;
  }

  /** Returns whether a first attempt at this server would miss the deadline; false for retries. */
  boolean missesDeadline(RequestState request, Candidate candidate, long nowNanos) {
    if (!enabled || request.phase != RequestState.Phase.QUEUED) {
      return false;
    }
    long remaining = request.work.firstTokenDeadlineNanos() - nowNanos;
    if (remaining <= 0) {
      return true;
    }
    // An idle server is always tried: its response corrects an estimate that is too high.
    return candidate.server().load.running() > 0
        && costs.firstTokenNanos(request, candidate) > remaining;
  }

  /** Returns the candidate with the earliest estimated first token. */
  Candidate fastest(RequestState request, List<Candidate> candidates) {
    Candidate fastest = candidates.get(0);
    for (Candidate candidate : candidates) {
      if (costs.firstTokenNanos(request, candidate) < costs.firstTokenNanos(request, fastest)) {
        fastest = candidate;
      }
    }
    return fastest;
  }

  private double fastestFirstToken(RequestState request, List<ServerState> servers) {
    double fastest = servers.isEmpty() ? 0 : Double.MAX_VALUE;
    for (ServerState server : servers) {
      boolean service = request.work.kind() == WorkRequest.WorkKind.SERVICE_CALL;
      double nanos =
          service ? server.speed.callNanos() : server.speed.prefillNanos(request.promptTokens());
      fastest = Math.min(fastest, nanos);
    }
    return fastest;
  }
}
