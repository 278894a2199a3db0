package org.teaseltrestle.policy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Estimated load of one backend server: the last report, corrected by this instance's own attempts
 * since the time of its measurement.
 */
final class ServerLoad {

  private final Set<RequestState> ownAttempts = new LinkedHashSet<>();
  private @Nullable LoadReport report;
  private int runningCorrection;
  private int promptCorrection;
  private int blocksCorrection;
  private int remotePrefillTokens;

  /** Applies a report unless a later measurement is known; returns whether it was applied. */
  boolean update(LoadReport newReport) {
    if (report != null && report.measuredAtNanos() > newReport.measuredAtNanos()) {
      return false;
    }
    report = newReport;
    recount();
    return true;
  }

  /** Discards a report older than the given age; own attempts still count. */
  void discardStale(long nowNanos, long maximumAgeNanos) {
    if (report != null && nowNanos - report.measuredAtNanos() > maximumAgeNanos) {
      report = null;
      recount();
    }
  }

  void attemptDispatched(RequestState request) {
    ownAttempts.add(request);
    add(request);
  }

  /** Adds prompt tokens that are prefilled here for a request that runs at another engine. */
  void remotePrefillStarted(int tokens) {
    remotePrefillTokens += tokens;
  }

  /** Removes prompt tokens of a finished remote prefill. */
  void remotePrefillEnded(int tokens) {
    remotePrefillTokens -= tokens;
  }

  /** Records the first token: the prompt is no longer queued. */
  void firstTokenReceived(RequestState request) {
    promptCorrection -= request.countedPromptTokens;
    request.countedPromptTokens = 0;
  }

  void attemptEnded(RequestState request) {
    if (!ownAttempts.remove(request)) {
      return;
    }
    // If the report includes the attempt, it has since ended and freed all of its blocks.
    runningCorrection -= 1;
    promptCorrection -= request.countedPromptTokens;
    blocksCorrection -= request.reservedBlocks;
  }

  @Nullable LoadReport report() {
    return report;
  }

  EngineRole role() {
    return report == null ? EngineRole.MIXED : report.role();
  }

  /** Returns the number of attempts of this instance that run here. */
  int ownRunning() {
    return ownAttempts.size();
  }

  /** Returns the estimated number of running and waiting requests of all instances. */
  int running() {
    int reported = report == null ? 0 : report.running() + report.waiting();
    return Math.max(ownAttempts.size(), reported + runningCorrection);
  }

  /** Returns the estimated number of requests that wait inside the server. */
  int waiting() {
    if (report == null || report.waiting() == 0) {
      return 0;
    }
    return Math.max(0, report.waiting() + runningCorrection);
  }

  /** Returns the estimated number of prompt tokens that wait for prefill. */
  int queuedPromptTokens() {
    int reported = report == null ? 0 : report.queuedPromptTokens();
    return Math.max(0, reported + promptCorrection) + remotePrefillTokens;
  }

  /** Returns the total number of KV cache blocks, 0 if unknown or if there are none. */
  int totalBlocks() {
    return report == null ? 0 : report.kvPiecesTotal();
  }

  /**
   * Returns the number of blocks that are neither in use nor reserved by own requests; may be
   * negative.
   */
  int freeBlocks() {
    int reported = report == null ? 0 : report.kvPiecesFree();
    return Math.min(totalBlocks(), reported - blocksCorrection);
  }

  /**
   * Returns the number of blocks that hold this number of tokens, 0 for a server without blocks.
   */
  int blocksFor(int tokens) {
    int blockTokens = report == null ? 0 : report.pieceTokens();
    return blockTokens <= 0 ? 0 : (tokens + blockTokens - 1) / blockTokens;
  }

  private void recount() {
    runningCorrection = 0;
    promptCorrection = 0;
    blocksCorrection = 0;
    ownAttempts.forEach(this::add);
  }

  private void add(RequestState request) {
    boolean afterReport = report == null || request.dispatchedAtNanos > report.measuredAtNanos();
    if (afterReport) {
      request.countedPromptTokens = request.attemptTokens > 0 ? 0 : request.prefillTokens;
      runningCorrection += 1;
      promptCorrection += request.countedPromptTokens;
      blocksCorrection += request.reservedBlocks;
    } else {
      // The report counts the blocks held at its time; those still needed are reserved.
      request.countedPromptTokens = 0;
      int heldBlocks = blocksFor(request.prefillTokens + request.attemptTokens);
      blocksCorrection += Math.max(0, request.reservedBlocks - heldBlocks);
    }
  }
}
