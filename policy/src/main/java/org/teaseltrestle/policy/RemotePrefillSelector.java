package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * Selects an engine for a remote prefill. Prefill-only engines are faster and their prefills do not
 * stall running responses, but the KV cache of the prompt has to be transferred.
 */
final class RemotePrefillSelector {

  /** Cost of the second call: two round trips and a new connection. */
  private static final double SECOND_CALL_NANOS = 6e6;

  /** Time to transfer the KV cache of one token, 164 KB, over a link of 1,500 Gbit/s. */
  private static final double TRANSFER_NANOS_PER_TOKEN = 900;

  /**
   * Maximum random increase of an estimate, as a fraction; the estimates are no more accurate than
   * that.
   */
  private static final double MAXIMUM_JITTER = 0.3;

  /** Weight of the latest remote prefill in the moving average of the failure rate. */
  private static final double FAILURE_SMOOTHING_FACTOR = 0.1;

  /**
   * Failure rate up to which failed remote prefills do not draw on the retry budget: retries are
   * worth more to callers, and the budget has a margin for that much.
   */
  private static final double TOLERATED_FAILURE_RATE = 0.1;

  private final PolicyConfiguration configuration;
  private final Fleet fleet;
  private final CostModel costs;
  private final RetryBudget retryBudget;
  private final PrefixAffinity prefixAffinity = new PrefixAffinity();
  private double failureRate;
  private int running;

  RemotePrefillSelector(
      PolicyConfiguration configuration, Fleet fleet, CostModel costs, RetryBudget retryBudget) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.costs = costs;
    this.retryBudget = retryBudget;
  }

  /**
   * An engine that can prefill a prompt for another one.
   *
   * @param prefillTokens prompt tokens that the engine does not hold yet
   * @param estimatedNanos estimated time until the other engine has received the KV cache
   */
  record RemotePrefill(ServerState server, int prefillTokens, double estimatedNanos) {}

  /**
   * Returns the remote prefill that is estimated to finish first, or null if none is possible. Only
   * the first attempt of a completion is eligible. When many remote prefills fail, the retry budget
   * must hold the expected number of failures: the whole request is sent again after each.
   */
  @Nullable RemotePrefill select(RequestState request, long nowNanos) {
    boolean isFirstAttempt = request.attempt == 0 && request.outputTokens == 0;
    if (!isFirstAttempt
        || request.work.kind() != WorkRequest.WorkKind.MODEL_COMPLETION
        || !isFailureCovered()) {
      return null;
    }
    PrefixAffinity.Holders holders =
        prefixAffinity.prefillHolders(
            request, fleet.serving(request), configuration.replicaChoice(), nowNanos);
    RemotePrefill best = null;
    double lowestCost = 0;
    for (ServerState server : fleet.serving(request)) {
      if (server.acceptsRemotePrefill(nowNanos)) {
        RemotePrefill remotePrefill = estimate(request, server, holders, nowNanos);
        double cost = remotePrefill.estimatedNanos() * jitter(request, server);
        if (best == null || cost < lowestCost) {
          best = remotePrefill;
          lowestCost = cost;
        }
      }
    }
    return best;
  }

  /** Records that a remote prefill was dispatched. */
  void dispatched(RequestState request, RemotePrefill remotePrefill, long nowNanos) {
    running++;
    request.prefillServer = remotePrefill.server();
    request.remotePrefillTokens = remotePrefill.prefillTokens();
    request.remotePrefillAheadTokens = remotePrefill.server().load.queuedPromptTokens();
    remotePrefill.server().limitShare.sent(nowNanos);
    remotePrefill.server().load.remotePrefillStarted(remotePrefill.prefillTokens());
    prefixAffinity.recordPlacement(request, remotePrefill.server(), nowNanos);
  }

  /** Records the end of a request's remote prefill, if it has one that has not ended yet. */
  void finished(RequestState request, @Nullable FailureKind failure, long nanos, long nowNanos) {
    ServerState server = request.prefillServer;
    if (server == null) {
      return;
    }
    request.prefillServer = null;
    running--;
    recordCost(failure);
    server.load.remotePrefillEnded(request.remotePrefillTokens);
    if (failure == null) {
      server.contention.recordPrefill(
          request.remotePrefillTokens + request.remotePrefillAheadTokens, nanos, nowNanos);
    }
    fleet.recordOutcome(server, request, failure, nowNanos);
    fleet.removeIfUnlisted(server);
  }

  private boolean isFailureCovered() {
    return failureRate <= TOLERATED_FAILURE_RATE || retryBudget.covers((running + 1) * failureRate);
  }

  private void recordCost(@Nullable FailureKind failure) {
    if (failure == null) {
      failureRate -= FAILURE_SMOOTHING_FACTOR * failureRate;
    } else if (RetryTable.prefillCountsAsRetry(failure)) {
      failureRate += FAILURE_SMOOTHING_FACTOR * (1 - failureRate);
      if (failureRate > TOLERATED_FAILURE_RATE) {
        retryBudget.chargeRetry();
      }
    }
  }

  private RemotePrefill estimate(
      RequestState request, ServerState server, PrefixAffinity.Holders holders, long nowNanos) {
    int cachedTokens = holders.holds(server) ? request.work.options().sharedPrefixTokens() : 0;
    int tokens = Math.max(1, request.promptTokens() - cachedTokens);
    double nanos =
        server.contention.prefillNanos(server.load.queuedPromptTokens() + tokens)
            + server.contention.delayNanos(nowNanos)
            + SECOND_CALL_NANOS
            + TRANSFER_NANOS_PER_TOKEN * request.promptTokens();
    double sharedPrefillNanos =
        server.contention.prefillNanos(request.work.options().sharedPrefixTokens());
    return new RemotePrefill(
        server, tokens, nanos + costs.crossDomainNanos(server, sharedPrefillNanos));
  }

  /**
   * Returns a random factor that spreads instances with the same view over engines with equal
   * estimates.
   */
  private static double jitter(RequestState request, ServerState server) {
    long bits = Rendezvous.score(request.work.sampleBits(), server.idHash);
    return 1 + MAXIMUM_JITTER * (bits >>> 1) / Long.MAX_VALUE;
  }
}
