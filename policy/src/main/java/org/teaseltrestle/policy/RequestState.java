package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** State of an admitted request from its arrival to its end. */
final class RequestState {

  final WorkRequest work;
  final PlanLimits limits;
  final long sequence;
  final QueueKey queueKey;

  /** Hash chain of the prompt's blocks. */
  final long[] prefix;

  final List<BackendServerId> triedServers = new ArrayList<>(1);

  /** Servers that refused this request. */
  private final List<BackendServerId> refusedBy = new ArrayList<>(0);

  long queueDeadlineNanos;
  Phase phase = Phase.QUEUED;

  /** Number of the current or last attempt, 0 before the first. */
  int attempt;

  /** Attempts that count against the maximum attempts of a request. */
  int countedAttempts;

  /** Attempts that may have run. */
  int possibleRuns;

  /** Backend server of the running attempt. */
  @Nullable ServerState server;

  /** Engine that prefills the prompt of the running attempt for its server. */
  @Nullable ServerState prefillServer;

  /** Prompt tokens that the remote prefill covers. */
  int remotePrefillTokens;

  /** Prompt tokens of other requests that were queued ahead at the prefill engine. */
  int remotePrefillAheadTokens;

  long dispatchedAtNanos;

  /** Prompt tokens to prefill in the running attempt, without the cached prefix. */
  int prefillTokens;

  /**
   * Prompt tokens of other requests that were queued ahead when the running attempt was dispatched.
   */
  int prefillAheadTokens;

  /** Prompt tokens counted as queued at the server in addition to its last load report. */
  int countedPromptTokens;

  /** KV cache blocks reserved by the running attempt. */
  int reservedBlocks;

  /** Output tokens of ended attempts. */
  int outputTokens;

  /** Output tokens of the running attempt. */
  int attemptTokens;

  private @Nullable RefusalCode possibleRunCode;

  /** Software version that began the stream of this request, null before its first event. */
  private @Nullable String streamVersion;

  RequestState(WorkRequest work, PlanLimits limits, long sequence, long queueDeadlineNanos) {
    this.work = work;
    this.limits = limits;
    this.sequence = sequence;
    this.queueKey = new QueueKey(work.pool(), work.item(), work.kind());
    this.queueDeadlineNanos = queueDeadlineNanos;
    this.prefix = PrefixIndex.parseHashes(work.prefixHashes());
    this.streamVersion = work.options().softwareVersion();
  }

  /** Phase of a request. */
  enum Phase {
    /** Waits for its first attempt. */
    QUEUED,
    /** Waits for another attempt. */
    RETRY_WAITING,
    RUNNING,
    /** The caller disconnected; waits for the end of the running attempt. */
    CANCELLING
  }

  RequestId id() {
    return work.request();
  }

  /**
   * Returns the prompt length of the next attempt: tokens of a resumed response are prefilled
   * again.
   */
  int promptTokens() {
    return work.promptTokens() + outputTokens;
  }

  /** Returns the priority, 0 is the highest; that of the route precedes that of the plan. */
  int priority() {
    int routePriority = work.options().priority();
    return routePriority >= 0 ? routePriority : limits.priority();
  }

  int remainingOutputTokens() {
    return Math.max(1, work.expectedOutputTokens() - outputTokens);
  }

  /** Records that a server refused this request without running it. */
  void recordRefusal(BackendServerId server) {
    refusedBy.add(server);
  }

  /**
   * Returns whether this request may be sent to a server. A stream goes on only at the software
   * version that began it. A request that must run at most once is not sent again to a server that
   * refused it: the earlier refusal, repeated, would hide a run.
   */
  boolean maySendTo(BackendServer candidate) {
    return fitsStream(candidate)
        && (work.repeatability() != WorkRequest.Repeatability.AT_MOST_ONCE
            || !refusedBy.contains(candidate.id()));
  }

  /** Records the server that sent events of the response. */
  void streamedBy(BackendServer sender) {
    streamVersion = sender.softwareVersion();
  }

  /** Returns whether what a server writes fits what the caller has of this stream. */
  boolean fitsStream(BackendServer candidate) {
    return streamVersion == null || streamVersion.equals(candidate.softwareVersion());
  }

  /** Records the code of the first failed attempt that may have run. */
  void recordPossibleRun(RefusalCode code) {
    if (possibleRunCode == null) {
      possibleRunCode = code;
    }
  }

  /** Returns whether an earlier attempt may have run. */
  boolean mayHaveRun() {
    return possibleRunCode != null || outputTokens > 0;
  }

  /**
   * Returns the refusal code to send to the caller. A code that states "not run" is replaced if an
   * earlier attempt may have run, so that the caller never repeats a request on a false statement.
   */
  RefusalCode verifiedCode(RefusalCode code) {
    if (outputTokens > 0) {
      return RefusalCode.ANSWER_CUT;
    }
    if (possibleRunCode != null && code.notRun() == NotRun.CERTAIN) {
      return possibleRunCode;
    }
    return code;
  }
}
