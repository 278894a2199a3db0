package org.teaseltrestle.policy;

import org.teaseltrestle.policy.fleet.Rendezvous;

/** State of one backend server as known to this instance. */
final class ServerState {

  private static final double NANOS_PER_SECOND = 1e9;

  final ServerLoad load = new ServerLoad();
  final ServerHealth health = new ServerHealth();
  final long idHash;
  final EngineSpeed speed;
  final Contention contention;
  final RunningLimit runningLimit;
  final LimitShare limitShare = new LimitShare();
  private final PolicyConfiguration.CheapWork cheapWork;
  BackendServer server;

  /** Monotonic time until which a server that refused a request as busy gets no more. */
  long busyUntilNanos = Long.MIN_VALUE;

  /** Number of consecutive refusals as busy. */
  int consecutiveBusyRefusals;

  /**
   * Monotonic time until which the server is treated as leaving, whatever the fleet list states.
   */
  long leavingUntilNanos = Long.MIN_VALUE;

  /** Whether a response of the server announced that it is leaving. */
  boolean announcedLeaving;

  /** Monotonic time until which the server wants no requests of this instance. */
  long pausedUntilNanos = Long.MIN_VALUE;

  /** Whether the fleet list contains the server. */
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

  /** Returns whether the server may run new requests. */
  boolean acceptsWork(long nowNanos) {
    return acceptsWorkAfterPause(nowNanos) && nowNanos >= pausedUntilNanos;
  }

  /** Returns whether the server may run new requests now or at the end of its pause. */
  boolean acceptsWorkAfterPause(long nowNanos) {
    return isStaying(nowNanos)
        && load.role() != EngineRole.CHANGING
        && server.role() != EngineRole.CHANGING
        && server.role() != EngineRole.PREFILL_ONLY;
  }

  /** Returns whether the server may prefill prompts for other engines. */
  boolean acceptsRemotePrefill(long nowNanos) {
    return isStaying(nowNanos)
        && !isEjected()
        && server.role() == EngineRole.PREFILL_ONLY
        && nowNanos >= pausedUntilNanos
        && nowNanos >= busyUntilNanos
        && limitShare.hasRoom(nowNanos)
        && health.state(nowNanos) == ServerHealth.State.CLOSED;
  }

  /** Returns whether the server gets work only if no other server may run it. */
  boolean isEjected() {
    return server.state() == BackendServer.State.EJECTED;
  }

  private boolean isStaying(long nowNanos) {
    return listed
        && (server.state() == BackendServer.State.LIVE || isEjected())
        && !announcedLeaving
        && nowNanos >= leavingUntilNanos;
  }

  /** Returns whether the server may run the request, whatever its load is. */
  boolean allows(RequestState request) {
    return request.maySendTo(server) && allowsOnItsCapacity(request);
  }

  /** Preemptible servers may be reclaimed while they run a request. */
  private boolean allowsOnItsCapacity(RequestState request) {
    return server.capacity() == BackendServer.Capacity.REGULAR
        || cheapWork == PolicyConfiguration.CheapWork.ALL
        || (request.work.repeatability() == WorkRequest.Repeatability.IDEMPOTENT
            && request.limits.cheapCapacity() == PlanLimits.CheapCapacity.ALLOWED);
  }

  /** Updates the measured speed of the server from a finished attempt. */
  void recordSpeed(RequestState request, AttemptOutcome outcome, long nowNanos) {
    if (outcome.firstTokenNanos() > 0 && outcome.outputTokens() > 0) {
      if (request.remotePrefillTokens == 0) {
        speed.recordPrefill(
            request.prefillTokens + request.prefillAheadTokens, outcome.firstTokenNanos());
      }
      long decodeNanos = nowNanos - request.dispatchedAtNanos - outcome.firstTokenNanos();
      if (outcome.outputTokens() > 1 && decodeNanos > 0) {
        int gaps = outcome.outputTokens() - 1;
        speed.recordDecode(gaps, decodeNanos);
        runningLimit.update((double) decodeNanos / gaps, load.running(), nowNanos);
      }
    } else if (request.work.kind() == WorkRequest.WorkKind.SERVICE_CALL && outcome.succeeded()) {
      speed.recordCall(nowNanos - request.dispatchedAtNanos);
    }
  }
}
