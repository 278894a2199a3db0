package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * Chooses the engine that reads a prompt for another one. Engines that only read prompts do it
 * faster and without disturbing running answers, but the prompt's memory has to be moved.
 */
final class PrefillHelpers {

  /** Two round trips and a new connection for the second call. */
  private static final double HANDOVER_NANOS = 6e6;

  /** Moving one token of 164 KB over a link of 1,500 Gbit/s. */
  private static final double MOVE_NANOS_PER_TOKEN = 900;

  /** Part of an estimate by which it is blurred at most; estimates are no better than that. */
  private static final double BLUR = 0.3;

  private final PolicyConfiguration configuration;
  private final Fleet fleet;
  private final CostModel costs;
  private final PromptHomes homes = new PromptHomes();

  PrefillHelpers(PolicyConfiguration configuration, Fleet fleet, CostModel costs) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.costs = costs;
  }

  /**
   * An engine that can read a prompt.
   *
   * @param prefillTokens tokens that it does not hold yet
   * @param nanos estimated time until the other engine has the prompt's memory
   */
  record Helper(ServerState server, int prefillTokens, double nanos) {}

  /** Returns the helper that is done first, or null if the request cannot be helped. */
  @Nullable Helper best(RequestState request, long nowNanos) {
    boolean first = request.attempt == 0 && request.outputTokens == 0;
    if (!first || request.work.kind() != WorkRequest.WorkKind.MODEL_COMPLETION) {
      return null;
    }
    PromptHomes.Holders holders =
        homes.helpers(request, fleet.serving(request), configuration.replicaChoice(), nowNanos);
    Helper best = null;
    double lowest = 0;
    for (ServerState server : fleet.serving(request)) {
      if (server.mayHelp(nowNanos)) {
        Helper helper = helper(request, server, holders, nowNanos);
        double cost = helper.nanos() * blur(request, server);
        if (best == null || cost < lowest) {
          best = helper;
          lowest = cost;
        }
      }
    }
    return best;
  }

  /** Notes that a helper was asked. */
  void asked(RequestState request, Helper helper, long nowNanos) {
    request.helper = helper.server();
    request.helperTokens = helper.prefillTokens();
    request.helperAheadTokens = helper.server().load.queuedPromptTokens();
    helper.server().load.helps(helper.prefillTokens());
    homes.sent(request, helper.server(), nowNanos);
  }

  /** Notes that a helper has ended. */
  void ended(RequestState request, @Nullable FailureKind failure, long nanos, long nowNanos) {
    ServerState server = request.helper;
    if (server == null) {
      return;
    }
    request.helper = null;
    server.load.helped(request.helperTokens);
    if (failure == null) {
      server.contention.seen(request.helperTokens + request.helperAheadTokens, nanos, nowNanos);
    }
    fleet.observe(server, request, failure, nowNanos);
    fleet.forgetIfGone(server);
  }

  private Helper helper(
      RequestState request, ServerState server, PromptHomes.Holders holders, long nowNanos) {
    int cached = holders.holds(server) ? request.work.terms().sharedTokens() : 0;
    int tokens = Math.max(1, request.promptTokens() - cached);
    double nanos =
        server.contention.readingNanos(server.load.queuedPromptTokens() + tokens)
            + server.contention.delayNanos(nowNanos)
            + HANDOVER_NANOS
            + MOVE_NANOS_PER_TOKEN * request.promptTokens();
    return new Helper(
        server, tokens, costs.isOwnDomain(server) ? nanos : nanos + configuration.spillCostNanos());
  }

  /** Spreads instances with the same view over engines that seem alike. */
  private static double blur(RequestState request, ServerState server) {
    long bits = Rendezvous.score(request.work.sampleBits(), server.idHash);
    return 1 + BLUR * (bits >>> 1) / Long.MAX_VALUE;
  }
}
