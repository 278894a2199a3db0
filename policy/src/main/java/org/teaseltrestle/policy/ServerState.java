package org.teaseltrestle.policy;

import org.teaseltrestle.policy.fleet.Rendezvous;

/** What this instance knows of one backend server. */
final class ServerState {

  private static final double NANOS_PER_SECOND = 1e9;

  final ServerLoad load = new ServerLoad();
  final ServerHealth health = new ServerHealth();
  final long idHash;
  final EngineSpeed speed;
  final Contention contention;
  final RunningLimit runningLimit;
  private final PolicyConfiguration.CheapWork cheapWork;
  BackendServer server;

  /** Monotonic time until which a server that refused as busy gets nothing. */
  long busyUntilNanos = Long.MIN_VALUE;

  /** Refusals as busy since the last attempt that ran. */
  int busyInRow;

  /** Monotonic time until which the server counts as leaving, whatever the fleet list says. */
  long leavingUntilNanos = Long.MIN_VALUE;

  /** Whether the fleet list still names the server. */
  boolean listed = true;

  ServerState(BackendServer server, PolicyConfiguration configuration) {
    this.server = server;
    this.cheapWork = configuration.cheapWork();
    this.idHash = Rendezvous.hash(server.id().value());
    this.contention =
        new Contention(NANOS_PER_SECOND / configuration.initialPrefillTokensPerSecond());
    this.speed = new EngineSpeed(configuration.initialPrefillTokensPerSecond());
    this.runningLimit =
        new RunningLimit(
            configuration.maximumRunningPerServer(), configuration.betweenTokensNanos());
  }

  /** Returns whether new work may be sent. */
  boolean acceptsWork(long nowNanos) {
    return listed
        && server.state() == BackendServer.State.LIVE
        && nowNanos >= leavingUntilNanos
        && load.role() != EngineRole.CHANGING
        && server.role() != EngineRole.CHANGING
        && server.role() != EngineRole.PREFILL_ONLY;
  }

  /** Returns whether prompts may be sent here to be read for other engines. */
  boolean mayHelp(long nowNanos) {
    return listed
        && server.state() == BackendServer.State.LIVE
        && server.role() == EngineRole.PREFILL_ONLY
        && nowNanos >= leavingUntilNanos
        && nowNanos >= busyUntilNanos
        && health.state(nowNanos) == ServerHealth.State.CLOSED;
  }

  /** Returns whether this server may run the request without harm if it vanishes. */
  boolean allows(RequestState request) {
    return server.capacity() == BackendServer.Capacity.REGULAR
        || cheapWork == PolicyConfiguration.CheapWork.ALL
        || (request.work.repeatable() == WorkRequest.Repeatable.IDEMPOTENT
            && request.limits.cheapCapacity() == PlanLimits.CheapCapacity.ALLOWED);
  }

  /** Learns the server's speed from the end of an attempt. */
  void learn(RequestState request, AttemptOutcome outcome, long nowNanos) {
    if (outcome.firstTokenNanos() > 0 && outcome.outputTokens() > 0) {
      if (request.helperTokens == 0) {
        speed.prefilled(
            request.prefillTokens + request.prefillAheadTokens, outcome.firstTokenNanos());
      }
      long decodeNanos = nowNanos - request.dispatchedAtNanos - outcome.firstTokenNanos();
      if (outcome.outputTokens() > 1 && decodeNanos > 0) {
        int gaps = outcome.outputTokens() - 1;
        speed.decoded(gaps, decodeNanos);
        runningLimit.observed((double) decodeNanos / gaps, load.running(), nowNanos);
      }
    } else if (request.work.kind() == WorkRequest.WorkKind.SERVICE_CALL && outcome.succeeded()) {
      speed.called(nowNanos - request.dispatchedAtNanos);
    }
  }
}
