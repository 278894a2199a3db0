package org.teaseltrestle.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;

/**
 * Refuses early what cannot be served in time, so that no engine works on answers that come too
 * late. Without it, goodput collapses under overload: every request waits until just after its
 * deadline.
 */
final class DeadlineCheck {

  /** Part of the time left that the predicted wait may take up; covers errors of the prediction. */
  private static final double USABLE = 0.9;

  /** How much less of it each step of plan priority may take up. */
  private static final double PRIORITY_STEP = 0.15;

  private static final int LOWEST_STEP = 4;

  private final CostModel costs;
  private final boolean enabled;

  DeadlineCheck(PolicyConfiguration configuration, CostModel costs) {
    this.costs = costs;
    this.enabled = configuration.queueing() == Queueing.FAIR;
  }

  /**
   * Returns why an arriving request should not wait, or null if it should.
   *
   * @param servers servers that may run it
   */
  @Nullable RefusalCode atArrival(
      RequestState request,
      RequestQueue queue,
      DrainRate drain,
      List<ServerState> servers,
      long nowNanos) {
    if (!enabled) {
      return null;
    }
    long left = request.work.firstTokenDeadlineNanos() - nowNanos;
    if (left <= 0) {
      return RefusalCode.DEADLINE_UNREACHABLE;
    }
    if (queue.size() == 0) {
      return null;
    }
    long wait = drain.timeFor(queue.workAhead(request.limits), nowNanos);
    if (wait + fastestFirstToken(request, servers) > USABLE * left) {
      return RefusalCode.DEADLINE_UNREACHABLE;
    }
    // Only an account that has more waiting than its share is shed; otherwise one account of a high
    // priority could shut out all others.
    int step = Math.max(0, Math.min(LOWEST_STEP, request.limits.priority()));
    boolean shed = step > 0 && wait > (USABLE - step * PRIORITY_STEP) * left;
    return shed ? RefusalCode.OVERLOAD_SHED : null;
  }

  /** Returns when a first attempt is pointless; the baseline waits for the longest time. */
  long queueDeadline(WorkRequest work, long longestNanos, long nowNanos) {
    long longest = nowNanos + longestNanos;
    return enabled ? Math.min(longest, work.firstTokenDeadlineNanos()) : longest;
  }

  /** Returns whether a first attempt at this server would miss the deadline. */
  boolean missedAt(RequestState request, Candidate candidate, long nowNanos) {
    if (!enabled || request.phase != RequestState.Phase.QUEUED) {
      return false;
    }
    long left = request.work.firstTokenDeadlineNanos() - nowNanos;
    if (left <= 0) {
      return true;
    }
    // An idle server is always tried: its answer corrects an estimate that is too high.
    return candidate.server().load.running() > 0
        && costs.firstTokenNanos(request, candidate) > left;
  }

  /** Returns the candidate with the earliest first token. */
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
