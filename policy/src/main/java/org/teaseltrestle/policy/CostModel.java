package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/** Estimated cost, in nanoseconds, of running a request at a backend server. */
final class CostModel {

  /** Delay that one running request adds to the others of its batch. */
  private static final double RUNNING_NANOS = 2e6;

  /**
   * Part of a prompt's reading that counts once more for each running answer, which stands still
   * meanwhile.
   */
  private static final double DISTURBANCE = 0.25;

  /** Running answers beyond this number make a disturbance no worse. */
  private static final int MAXIMUM_DISTURBED = 16;

  /** Delay until a request that waits inside the server starts. */
  private static final double WAITING_NANOS = 50e6;

  /** Weight of decoding time against time to the first token: all servers need most of it. */
  private static final double DECODE_WEIGHT = 0.1;

  /** Part of free cache memory below which a server counts as crowded. */
  private static final double CROWDED = 0.1;

  private static final double CROWDED_NANOS = 100e6;

  /** Cheap capacity goes first for work that may use it; regular capacity is kept for the rest. */
  private static final double CHEAP_NANOS = -5e6;

  private final @Nullable FailureDomain ownDomain;
  private final double spillNanos;

  CostModel(PolicyConfiguration configuration) {
    ownDomain = configuration.ownFailureDomain();
    spillNanos = configuration.spillCostNanos();
  }

  /** Returns the cost that replicas are compared by. */
  double cost(RequestState request, Candidate candidate) {
    ServerState server = candidate.server();
    double cost = firstTokenNanos(request, candidate);
    if (server.server.role() == EngineRole.DECODE) {
      int disturbed = Math.min(MAXIMUM_DISTURBED, server.load.running());
      cost += DISTURBANCE * disturbed * server.speed.prefillNanos(candidate.prefillTokens());
    }
    cost += server.load.running() * RUNNING_NANOS + server.load.waiting() * WAITING_NANOS;
    cost += DECODE_WEIGHT * request.work.expectedOutputTokens() * server.speed.tokenNanos();
    int total = server.load.totalPieces();
    if (total > 0 && server.load.freePieces() - candidate.pieces() < CROWDED * total) {
      cost += CROWDED_NANOS;
    }
    if (server.server.capacity() == BackendServer.Capacity.CHEAP) {
      cost += CHEAP_NANOS;
    }
    return isOwnDomain(server) ? cost : cost + spillNanos;
  }

  /** Returns the estimated time to the first token, or to the answer of a service. */
  double firstTokenNanos(RequestState request, Candidate candidate) {
    ServerState server = candidate.server();
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return server.speed.callNanos();
    }
    return server.speed.prefillNanos(server.load.queuedPromptTokens() + candidate.prefillTokens());
  }

  /** Returns whether a server costs no crossing of failure domains. */
  boolean isOwnDomain(ServerState server) {
    return ownDomain == null || ownDomain.equals(server.server.failureDomain());
  }
}
