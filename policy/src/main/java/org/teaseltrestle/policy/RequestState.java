package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** An admitted request from its arrival to its end. */
final class RequestState {

  final WorkRequest work;
  final PlanLimits limits;
  final long sequence;
  final QueueKey queueKey;

  /** Hash chain of the prompt's pieces. */
  final long[] prefix;

  final List<BackendServerId> tried = new ArrayList<>(1);
  long queueDeadlineNanos;
  Phase phase = Phase.QUEUED;

  /** Number of the current or last attempt, 0 before the first. */
  int attempt;

  /** Attempts that count against the most attempts of a request. */
  int countedAttempts;

  /** Attempts that may have run. */
  int possibleRuns;

  /** Backend server of the running attempt. */
  @Nullable ServerState server;

  /** Engine that reads the prompt of the running attempt for its server. */
  @Nullable ServerState helper;

  /** Prompt tokens that the helper has to read. */
  int helperTokens;

  /** Prompt tokens of other requests that were ahead of them at the helper. */
  int helperAheadTokens;

  long dispatchedAtNanos;

  /** Prompt tokens to prefill in the running attempt, less the cached prefix. */
  int prefillTokens;

  /** Prompt tokens of other requests that were ahead when the running attempt was dispatched. */
  int prefillAheadTokens;

  /** Prompt tokens that count as queued at the server on top of its last report. */
  int countedPrompt;

  /** Cache pieces reserved by the running attempt. */
  int reservedPieces;

  /** Output tokens of ended attempts. */
  int outputTokens;

  /** Output tokens of the running attempt. */
  int attemptTokens;

  private @Nullable RefusalCode possibleRunCode;

  RequestState(WorkRequest work, PlanLimits limits, long sequence, long queueDeadlineNanos) {
    this.work = work;
    this.limits = limits;
    this.sequence = sequence;
    this.queueKey = new QueueKey(work.pool(), work.item());
    this.queueDeadlineNanos = queueDeadlineNanos;
    this.prefix = PrefixIndex.compact(work.prefixHashes());
  }

  /** Where a request stands. */
  enum Phase {
    /** Waits for its first attempt. */
    QUEUED,
    /** Waits for another attempt. */
    RETRY_WAITING,
    RUNNING,
    /** The caller left; waits for the end of the running attempt. */
    CANCELLING
  }

  RequestId id() {
    return work.request();
  }

  /** Returns the prompt of the next attempt: a resumed answer's tokens are prefilled again. */
  int promptTokens() {
    return work.promptTokens() + outputTokens;
  }

  /** Returns the urgency, 0 first. */
  int priority() {
    int own = work.terms().priority();
    return own >= 0 ? own : limits.priority();
  }

  int remainingOutputTokens() {
    return Math.max(1, work.expectedOutputTokens() - outputTokens);
  }

  /** Remembers that an attempt which may have run ended with this code. */
  void rememberPossibleRun(RefusalCode code) {
    if (possibleRunCode == null) {
      possibleRunCode = code;
    }
  }

  /** Returns whether an ended attempt may have run. */
  boolean mayHaveRun() {
    return possibleRunCode != null || outputTokens > 0;
  }

  /**
   * Returns the code to end with. A code that states "not run" is replaced when an earlier attempt
   * may have run, so that the statement is true.
   */
  RefusalCode truthful(RefusalCode code) {
    if (outputTokens > 0) {
      return RefusalCode.ANSWER_CUT;
    }
    if (possibleRunCode != null && code.notRun() == NotRun.CERTAIN) {
      return possibleRunCode;
    }
    return code;
  }
}
