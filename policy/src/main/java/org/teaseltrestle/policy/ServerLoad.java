package org.teaseltrestle.policy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Load of one backend server: the last report, corrected by this instance's own work since the
 * moment to which the report refers.
 */
final class ServerLoad {

  private final Set<RequestState> own = new LinkedHashSet<>();
  private @Nullable LoadReport report;
  private int runningCorrection;
  private int promptCorrection;
  private int piecesCorrection;
  private int helpingTokens;

  /** Takes over a report unless a newer measurement is known; returns whether it did. */
  boolean reported(LoadReport newReport) {
    if (report != null && report.measuredAtNanos() > newReport.measuredAtNanos()) {
      return false;
    }
    report = newReport;
    recount();
    return true;
  }

  /** Forgets a report that is too old to say anything; own work still counts. */
  void expire(long nowNanos, long maximumAgeNanos) {
    if (report != null && nowNanos - report.measuredAtNanos() > maximumAgeNanos) {
      report = null;
      recount();
    }
  }

  void dispatched(RequestState request) {
    own.add(request);
    add(request);
  }

  /** Counts prompt tokens that are read here for a request that runs elsewhere. */
  void helps(int tokens) {
    helpingTokens += tokens;
  }

  /** Ends the reading of prompt tokens for a request that runs elsewhere. */
  void helped(int tokens) {
    helpingTokens -= tokens;
  }

  /** Notes the first token: the prompt is no longer queued. */
  void firstToken(RequestState request) {
    promptCorrection -= request.countedPrompt;
    request.countedPrompt = 0;
  }

  void ended(RequestState request) {
    if (!own.remove(request)) {
      return;
    }
    // An attempt that the report includes has left since, with all of its pieces.
    runningCorrection -= 1;
    promptCorrection -= request.countedPrompt;
    piecesCorrection -= request.reservedPieces;
  }

  @Nullable LoadReport report() {
    return report;
  }

  EngineRole role() {
    return report == null ? EngineRole.MIXED : report.role();
  }

  /** Returns the attempts of this instance that run here. */
  int ownRunning() {
    return own.size();
  }

  /** Returns the estimated number of running and waiting requests of all instances. */
  int running() {
    int reported = report == null ? 0 : report.running() + report.waiting();
    return Math.max(own.size(), reported + runningCorrection);
  }

  /** Returns the estimated number of requests that wait inside the server. */
  int waiting() {
    if (report == null || report.waiting() == 0) {
      return 0;
    }
    return Math.max(0, report.waiting() + runningCorrection);
  }

  /** Returns the estimated number of prompt tokens that wait for their prefill. */
  int queuedPromptTokens() {
    int reported = report == null ? 0 : report.queuedPromptTokens();
    return Math.max(0, reported + promptCorrection) + helpingTokens;
  }

  /** Returns the pieces of cache memory, 0 if unknown or if there are none. */
  int totalPieces() {
    return report == null ? 0 : report.kvPiecesTotal();
  }

  /** Returns the pieces that neither hold anything nor are reserved by own requests. */
  int freePieces() {
    int reported = report == null ? 0 : report.kvPiecesFree();
    return Math.min(totalPieces(), reported - piecesCorrection);
  }

  /** Returns the pieces that hold this number of tokens, 0 for a server without pieces. */
  int piecesFor(int tokens) {
    int pieceTokens = report == null ? 0 : report.pieceTokens();
    return pieceTokens <= 0 ? 0 : (tokens + pieceTokens - 1) / pieceTokens;
  }

  private void recount() {
    runningCorrection = 0;
    promptCorrection = 0;
    piecesCorrection = 0;
    own.forEach(this::add);
  }

  private void add(RequestState request) {
    boolean since = report == null || request.dispatchedAtNanos > report.measuredAtNanos();
    if (since) {
      request.countedPrompt = request.attemptTokens > 0 ? 0 : request.prefillTokens;
      runningCorrection += 1;
      promptCorrection += request.countedPrompt;
      piecesCorrection += request.reservedPieces;
    } else {
      // The report counts what the request held then; what it will still grow by is reserved.
      request.countedPrompt = 0;
      int held = piecesFor(request.prefillTokens + request.attemptTokens);
      piecesCorrection += Math.max(0, request.reservedPieces - held);
    }
  }
}
