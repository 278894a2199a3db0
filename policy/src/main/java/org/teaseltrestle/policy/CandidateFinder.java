package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/**
 * Finds the backend servers with room for a request. Work that an engine cannot start soon waits
 * here, where queueing is fair, and not inside the engine.
 */
final class CandidateFinder {

  /** Own attempts at a server that has not reported its load yet. */
  private static final int MAXIMUM_RUNNING_UNREPORTED = 8;

  /** Part of the cache memory kept free for answers longer than expected. */
  private static final double KEPT_FREE = 0.05;

  private final PolicyConfiguration configuration;
  private final Fleet fleet;
  private final PromptHomes homes = new PromptHomes();
  private final boolean limitsByCapacity;

  CandidateFinder(PolicyConfiguration configuration, Fleet fleet) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.limitsByCapacity = configuration.queueing() == Queueing.FAIR;
  }

  /** Returns where shared parts of prompts are kept. */
  PromptHomes homes() {
    return homes;
  }

  /** Returns the servers with room for the request; those not tried before if there are any. */
  List<Candidate> find(RequestState request, long nowNanos) {
    List<ServerState> fresh = new ArrayList<>();
    List<ServerState> tried = new ArrayList<>(0);
    for (ServerState server : fleet.usable(request, nowNanos)) {
      server.load.expire(nowNanos, configuration.maximumReportAgeNanos());
      if (hasRoom(server, nowNanos)) {
        (request.tried.contains(server.server.id()) ? tried : fresh).add(server);
      }
    }
    PromptHomes.Holders holders =
        homes.holders(request, fleet.serving(request), configuration.replicaChoice(), nowNanos);
    List<Candidate> candidates = withMemory(fresh, request, holders);
    return candidates.isEmpty() ? withMemory(tried, request, holders) : candidates;
  }

  /** Returns whether some server could hold the request if it were idle. */
  boolean fits(RequestState request) {
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return true;
    }
    for (ServerState server : fleet.serving(request)) {
      int total = server.load.totalPieces();
      if (total == 0 || server.load.piecesFor(request.work.workTokens()) <= total) {
        return true;
      }
    }
    return false;
  }

  private boolean hasRoom(ServerState server, long nowNanos) {
    ServerLoad load = server.load;
    if (nowNanos < server.busyUntilNanos
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

  private List<Candidate> withMemory(
      List<ServerState> servers, RequestState request, PromptHomes.Holders holders) {
    List<Candidate> candidates = new ArrayList<>(servers.size());
    if (servers.isEmpty()) {
      return candidates;
    }
    int[] matched = fleet.prefixes().match(request.prefix);
    for (ServerState server : servers) {
      Candidate candidate = candidate(server, request, matched, holders);
      if (!limitsByCapacity || hasMemory(server.load, candidate.pieces())) {
        candidates.add(candidate);
      }
    }
    return candidates;
  }

  private Candidate candidate(
      ServerState server, RequestState request, int[] matched, PromptHomes.Holders holders) {
    if (request.work.kind() == WorkKind.SERVICE_CALL) {
      return new Candidate(server, 0, 0);
    }
    LoadReport report = server.load.report();
    int slot = fleet.prefixes().slot(server.server.id());
    int listed = report == null || slot < 0 ? 0 : matched[slot] * report.pieceTokens();
    int cached =
        holders.holds(server) ? Math.max(listed, request.work.terms().sharedTokens()) : listed;
    int prefill = Math.max(1, request.promptTokens() - cached);
    int pieces = server.load.piecesFor(prefill + request.remainingOutputTokens());
    return new Candidate(server, prefill, pieces);
  }

  private static boolean hasMemory(ServerLoad load, int pieces) {
    int total = load.totalPieces();
    if (total == 0) {
      return true;
    }
    // An idle server takes a request of almost its whole memory, which would never fit otherwise.
    int least = load.running() == 0 ? 0 : (int) (KEPT_FREE * total);
    return load.freePieces() - pieces >= least;
  }
}
