package org.teaseltrestle.policy;

import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.WorkRequest.Repeatability;

/** Maps the failure of an attempt to the next action. */
final class RetryTable {

  private RetryTable() {}

  /** Whether a part of the response has been received. */
  enum Progress {
    NONE,
    PARTIAL
  }

  /** Action after a failed attempt. */
  enum RetryAction {
    /** Another attempt, within the retry budget. */
    RETRY,
    /** Another attempt outside the budget: nothing was sent, so it adds no load. */
    RETRY_UNSENT,
    /**
     * Another attempt outside the budget and the attempt limit: a planned change must not end
     * requests.
     */
    RETRY_UNCOUNTED,
    /** Another attempt that continues at the first missing token. */
    RESUME,
    /** No further attempt. */
    END
  }

  /** Returns the action for one kind of failure. */
  static RetryAction action(FailureKind failure, Repeatability repeatability, Progress progress) {
    return switch (failure) {
      case REFUSED_LEAVING -> RetryAction.RETRY_UNCOUNTED;
      case CONNECT_FAILED -> RetryAction.RETRY_UNSENT;
      case REFUSED_BUSY -> RetryAction.RETRY;
      case LOST_BEFORE_ANSWER,
          LOST_DURING_ANSWER,
          TIMED_OUT,
          SERVER_ERROR,
          ANSWER_MISMATCH,
          MALFORMED_ANSWER ->
          afterPossibleRun(repeatability, progress);
      case CANCELLED -> RetryAction.END;
    };
  }

  /** Returns whether the backend server may have run the request. */
  static boolean mayHaveRun(FailureKind failure) {
    return switch (failure) {
      case CONNECT_FAILED, REFUSED_LEAVING, REFUSED_BUSY -> false;
      case LOST_BEFORE_ANSWER,
          LOST_DURING_ANSWER,
          TIMED_OUT,
          SERVER_ERROR,
          ANSWER_MISMATCH,
          MALFORMED_ANSWER,
          CANCELLED ->
          true;
    };
  }

  /** Returns whether the backend server received the request and said that it did not run it. */
  static boolean isRefusal(FailureKind failure) {
    return failure == FailureKind.REFUSED_BUSY || failure == FailureKind.REFUSED_LEAVING;
  }

  /**
   * Returns whether a remote prefill that failed this way loads the servers with one more attempt:
   * an engine received it, and another one receives the whole request afterwards.
   */
  static boolean prefillCountsAsRetry(FailureKind failure) {
    return failure != FailureKind.CONNECT_FAILED && failure != FailureKind.CANCELLED;
  }

  /** Returns the refusal that ends a request whose last attempt failed this way. */
  static RefusalCode refusal(FailureKind failure) {
    return switch (failure) {
      case CONNECT_FAILED -> RefusalCode.BACKEND_UNREACHABLE;
      case REFUSED_LEAVING -> RefusalCode.NO_BACKEND_SERVER;
      case REFUSED_BUSY -> RefusalCode.OVERLOAD_SHED;
      case LOST_BEFORE_ANSWER -> RefusalCode.OUTCOME_UNKNOWN;
      case LOST_DURING_ANSWER -> RefusalCode.ANSWER_CUT;
      case TIMED_OUT -> RefusalCode.BACKEND_TIMEOUT;
      case SERVER_ERROR -> RefusalCode.BACKEND_FAILED;
      case ANSWER_MISMATCH, MALFORMED_ANSWER -> RefusalCode.ANSWER_MISMATCH;
      case CANCELLED -> RefusalCode.CALLER_LEFT;
    };
  }

  private static RetryAction afterPossibleRun(Repeatability repeatability, Progress progress) {
    if (repeatability == Repeatability.AT_MOST_ONCE) {
      return RetryAction.END;
    }
    return progress == Progress.PARTIAL ? RetryAction.RESUME : RetryAction.RETRY;
  }
}
