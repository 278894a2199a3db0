package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/**
 * Finds the backend servers with capacity for a request. Requests that an engine cannot start soon
 * wait in this process, where queueing is fair, and not inside the engine.
 */
final class CandidateFinder {

  /** Maximum number of own attempts at a server without a current load report. */
  private static final int MAXIMUM_RUNNING_UNREPORTED = 8;

  /** Fraction of the KV cache blocks kept free for responses longer than expected. */
  private static final double MINIMUM_FREE_FRACTION = 0.05;

  private final PolicyConfiguration configuration;
  private final Fleet fleet;
  private final PrefixAffinity prefixAffinity = new PrefixAffinity();
  private final boolean limitsByCapacity;

  CandidateFinder(PolicyConfiguration configuration, Fleet fleet) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.limitsByCapacity = configuration.queueing() == Queueing.FAIR;
  }

  /** Returns the expected locations of shared prompt prefixes. */
  PrefixAffinity prefixAffinity() {
    return prefixAffinity;
  }

  /**
   * Returns the servers with capacity for the request; only those not tried before, if there are
   * any.
   */
  List<Candidate> find(RequestState request, long nowNanos) {
    List<ServerState> untried = new ArrayList<>();
    List<ServerState> tried = new ArrayList<>(0);
    for (ServerState server : fleet.usable(request, nowNanos)) {
      server.load.discardStale(nowNanos, configuration.maximumReportAgeNanos());
      if (hasCapacity(server, nowNanos)) {
        (request.triedServers.contains(server.server.id()) ? tried : untried).add(server);
      }
    }
    PrefixAffinity.Holders holders =
        prefixAffinity.holders(
            request, fleet.serving(request), configuration.replicaChoice(), nowNanos);
    List<Candidate> candidates = withFreeMemory(untried, request, holders);
    return candidates.isEmpty() ? withFreeMemory(tried, request, holders) : candidates;
  }

  /** Returns whether the KV cache of some server is large enough for the request when idle. */
  boolean hasLargeEnoughServer(RequestState request) {
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return true;
    }
    for (ServerState server : fleet.serving(request)) {
      int total = server.load.totalBlocks();
      if (total == 0 || server.load.blocksFor(request.work.workTokens()) <= total) {
        return true;
      }
    }
    return false;
  }

  private boolean hasCapacity(ServerState server, long nowNanos) {
    ServerLoad load = server.load;
    if (nowNanos < server.busyUntilNanos
        || !server.limitShare.hasRoom(nowNanos)
        || load.ownRunning() >= configuration.maximumRunningPerServer()) {
      return false;
    }
    if (!limitsByCapacity) {
      return true;
    }
    if (load.report() == null) {
      return load.ownRunning() < MAXIMUM_RUNNING_UNREPORTED;
    }
    return load.waiting() <= configuration.maximumWaitingPerServer()
        && load.running() < server.runningLimit.limit();
  }

  private List<Candidate> withFreeMemory(
      List<ServerState> servers, RequestState request, PrefixAffinity.Holders holders) {
    List<Candidate> candidates = new ArrayList<>(servers.size());
    if (servers.isEmpty()) {
      return candidates;
    }
    int[] matched = fleet.prefixes().match(request.prefix);
    for (ServerState server : servers) {
      Candidate candidate = candidate(server, request, matched, holders);
      if (!limitsByCapacity || hasFreeMemory(server.load, candidate.blocks())) {
        candidates.add(candidate);
      }
    }
    return candidates;
  }

  private Candidate candidate(
      ServerState server, RequestState request, int[] matched, PrefixAffinity.Holders holders) {
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return new Candidate(server, 0, 0);
    }
    LoadReport report = server.load.report();
    int slot = fleet.prefixes().slot(server.server.id());
    int indexedTokens = report == null || slot < 0 ? 0 : matched[slot] * report.pieceTokens();
    int cachedTokens =
        holders.holds(server)
            ? Math.max(indexedTokens, request.work.options().sharedPrefixTokens())
            : indexedTokens;
    int prefillTokens = Math.max(1, request.promptTokens() - cachedTokens);
    int blocks = server.load.blocksFor(prefillTokens + request.remainingOutputTokens());
    return new Candidate(server, prefillTokens, blocks);
  }

  private static boolean hasFreeMemory(ServerLoad load, int blocks) {
    int total = load.totalBlocks();
    if (total == 0) {
      return true;
    }
    // An idle server accepts a request that needs almost all of its blocks, which it otherwise
    // never could.
    int minimumFree = load.running() == 0 ? 0 : (int) (MINIMUM_FREE_FRACTION * total);
    return load.freeBlocks() - blocks >= minimumFree;
  }
}
