package org.teaseltrestle.policy;

/**
 * Circuit breaker of one backend server. It opens after several consecutive failures, or when the
 * server fails far more often than its pool. After a delay, which doubles with each consecutive
 * opening, it lets one probe through.
 */
final class ServerHealth {

  /**
   * Consecutive failures that open the breaker. Two can be chance; each further one costs a retry.
   */
  private static final int FAILURES_TO_OPEN = 3;

  private static final long FIRST_OPEN_NANOS = 2_000_000_000L;
  private static final long MAXIMUM_OPEN_NANOS = 60_000_000_000L;

  /** Weight of the latest attempt in the exponential moving average of the failure rate. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Attempts before the failure rate is used. */
  private static final int MINIMUM_ATTEMPTS = 10;

  private static final double OUTLIER_RATE = 0.3;
  private static final double OUTLIER_FACTOR = 2;

  private int consecutiveFailures;
  private int attempts;
  private double failureRate;
  private boolean open;
  private long openUntilNanos;
  private long openNanos = FIRST_OPEN_NANOS;
  private boolean probing;

  /** State of the breaker. */
  enum State {
    CLOSED,
    OPEN,
    /** One request may run as a probe. */
    HALF_OPEN
  }

  /** Returns whether a failure of this kind is evidence about the server's health. */
  static boolean isHealthFailure(FailureKind failure) {
    return switch (failure) {
      case CONNECT_FAILED,
          LOST_BEFORE_ANSWER,
          LOST_DURING_ANSWER,
          TIMED_OUT,
          SERVER_ERROR,
          ANSWER_MISMATCH,
          MALFORMED_ANSWER ->
          true;
      case REFUSED_LEAVING, REFUSED_BUSY, CANCELLED -> false;
    };
  }

  /** Returns whether overload alone can cause this failure, in which case ejections are capped. */
  static boolean mayBeCausedByOverload(FailureKind failure) {
    return failure == FailureKind.TIMED_OUT || failure == FailureKind.SERVER_ERROR;
  }

  State state(long nowNanos) {
    if (!open) {
      return State.CLOSED;
    }
    return nowNanos < openUntilNanos || probing ? State.OPEN : State.HALF_OPEN;
  }

  boolean isOpen() {
    return open;
  }

  double failureRate() {
    return attempts < MINIMUM_ATTEMPTS ? 0 : failureRate;
  }

  /** Records that an attempt was sent; if the breaker is open, it is the probe. */
  void dispatched() {
    probing = open;
  }

  /** Records a complete response, which closes the breaker. */
  void succeeded() {
    updateFailureRate(0);
    consecutiveFailures = 0;
    if (open) {
      open = false;
      failureRate = 0;
      attempts = 0;
    } else if (failureRate() < SMOOTHING_FACTOR) {
      openNanos = FIRST_OPEN_NANOS;
    }
    probing = false;
  }

  /** Records an outcome that is no evidence about the server's health. */
  void inconclusive() {
    probing = false;
  }

  /** Records a failure. */
  void failed() {
    updateFailureRate(1);
    consecutiveFailures++;
    probing = false;
  }

  /**
   * Returns whether the breaker should open.
   *
   * @param poolFailureRate mean failure rate of the servers that run the same model or service
   */
  boolean shouldOpen(double poolFailureRate) {
    boolean outlier =
        failureRate() > OUTLIER_RATE && failureRate() > OUTLIER_FACTOR * poolFailureRate;
    return open || consecutiveFailures >= FAILURES_TO_OPEN || outlier;
  }

  /** Opens the breaker, for twice as long at each consecutive opening. */
  void open(long nowNanos) {
    open = true;
    openUntilNanos = nowNanos + openNanos;
    openNanos = Math.min(MAXIMUM_OPEN_NANOS, 2 * openNanos);
  }

  private void updateFailureRate(int failure) {
    attempts = Math.min(attempts + 1, MINIMUM_ATTEMPTS);
    failureRate += SMOOTHING_FACTOR * (failure - failureRate);
  }
}
