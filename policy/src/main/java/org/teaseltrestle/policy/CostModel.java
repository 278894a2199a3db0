package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/** Estimates the cost, in nanoseconds, of running a request at a backend server. */
final class CostModel {

  /** Delay that each running request adds to the others in its batch. */
  private static final double RUNNING_REQUEST_NANOS = 2e6;

  /**
   * Fraction of the prefill time that is added for each running response, since decoding stalls
   * during a prefill.
   */
  private static final double PREFILL_DISRUPTION = 0.25;

  /** Running responses beyond this number do not raise the cost of the disruption. */
  private static final int MAXIMUM_DISRUPTED = 16;

  /** Delay that each request waiting inside the server adds. */
  private static final double WAITING_REQUEST_NANOS = 50e6;

  /**
   * Weight of decode time against time to first token; low, since decode time differs little
   * between servers.
   */
  private static final double DECODE_WEIGHT = 0.1;

  /** Fraction of free KV cache blocks below which {@link #LOW_MEMORY_NANOS} is added. */
  private static final double LOW_MEMORY_FRACTION = 0.1;

  private static final double LOW_MEMORY_NANOS = 100e6;

  /**
   * Negative: preemptible capacity is preferred for requests that may use it, which leaves regular
   * capacity for the others.
   */
  private static final double PREEMPTIBLE_NANOS = -5e6;

  /**
   * Part of the prefill time of a shared prefix that a server of another failure domain costs in
   * addition: each domain that is used prefills the prefix once.
   */
  private static final double SHARED_PREFIX_FRACTION = 0.1;

  private final @Nullable FailureDomain ownDomain;
  private final double crossDomainNanos;

  CostModel(PolicyConfiguration configuration) {
    ownDomain = configuration.ownFailureDomain();
    crossDomainNanos = configuration.crossDomainCostNanos();
  }

  /** Returns the cost by which replicas are compared. */
  double cost(RequestState request, Candidate candidate) {
    ServerState server = candidate.server();
    double cost = firstTokenNanos(request, candidate);
    if (server.server.role() == EngineRole.DECODE) {
      int disrupted = Math.min(MAXIMUM_DISRUPTED, server.load.running());
      cost += PREFILL_DISRUPTION * disrupted * server.speed.prefillNanos(candidate.prefillTokens());
    }
    cost +=
        server.load.running() * RUNNING_REQUEST_NANOS
            + server.load.waiting() * WAITING_REQUEST_NANOS;
    cost += DECODE_WEIGHT * request.work.expectedOutputTokens() * server.speed.tokenNanos();
    int total = server.load.totalBlocks();
    if (total > 0 && server.load.freeBlocks() - candidate.blocks() < LOW_MEMORY_FRACTION * total) {
      cost += LOW_MEMORY_NANOS;
    }
    if (server.server.capacity() == BackendServer.Capacity.CHEAP) {
      cost += PREEMPTIBLE_NANOS;
    }
    int sharedTokens = request.work.options().sharedPrefixTokens();
    return cost + crossDomainNanos(server, server.speed.prefillNanos(sharedTokens));
  }

  /**
   * Returns the cost of using a server of another failure domain; 0 in the own one.
   *
   * @param sharedPrefillNanos time in which the server would prefill the request's shared prefix
   */
  double crossDomainNanos(ServerState server, double sharedPrefillNanos) {
    return isOwnDomain(server) ? 0 : crossDomainNanos + SHARED_PREFIX_FRACTION * sharedPrefillNanos;
  }

  /** Returns the estimated time to the first token, or to the response of a service call. */
  double firstTokenNanos(RequestState request, Candidate candidate) {
    ServerState server = candidate.server();
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return server.speed.callNanos();
    }
    return server.speed.prefillNanos(server.load.queuedPromptTokens() + candidate.prefillTokens());
  }

  /**
   * Returns whether requests to a server stay in this instance's failure domain; always true if no
   * own domain is set.
   */
  boolean isOwnDomain(ServerState server) {
    return ownDomain == null || ownDomain.equals(server.server.failureDomain());
  }
}
