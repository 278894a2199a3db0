package org.teaseltrestle.policy;

/**
 * Circuit breaker of one backend server. It opens after several failures in a row, or when the
 * server fails far more often than its pool; after a growing time it lets one probe through.
 */
final class ServerHealth {

  /** Failures in a row that open the breaker; two can be chance, and each costs a retry. */
  private static final int FAILURES_TO_OPEN = 3;

  private static final long FIRST_OPEN_NANOS = 2_000_000_000L;
  private static final long LONGEST_OPEN_NANOS = 60_000_000_000L;

  /** Weight of the newest attempt in the failure rate. */
  private static final double NEWEST = 0.1;

  /** Attempts before the failure rate says anything. */
  private static final int LEAST_ATTEMPTS = 10;

  private static final double OUTLIER_RATE = 0.3;
  private static final double OUTLIER_FACTOR = 2;

  private int failuresInRow;
  private int attempts;
  private double failureRate;
  private boolean open;
  private long openUntilNanos;
  private long openNanos = FIRST_OPEN_NANOS;
  private boolean probing;

  /** What the breaker lets through. */
  enum State {
    CLOSED,
    OPEN,
    /** One probe may run. */
    HALF_OPEN
  }

  /** Returns whether a failure of this kind says something about the server's health. */
  static boolean counts(FailureKind failure) {
    return switch (failure) {
      case CONNECT_FAILED,
          LOST_BEFORE_ANSWER,
          LOST_DURING_ANSWER,
          TIMED_OUT,
          SERVER_ERROR,
          ANSWER_MISMATCH ->
          true;
      case REFUSED_LEAVING, REFUSED_BUSY, CANCELLED -> false;
    };
  }

  /** Returns whether overload alone can cause this failure; then ejection is capped. */
  static boolean mayBeOverload(FailureKind failure) {
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
    return attempts < LEAST_ATTEMPTS ? 0 : failureRate;
  }

  /** Notes that an attempt was sent; with an open breaker it is the probe. */
  void dispatched() {
    probing = open;
  }

  /** Notes a complete answer, which closes the breaker. */
  void succeeded() {
    count(0);
    failuresInRow = 0;
    if (open) {
      open = false;
      failureRate = 0;
      attempts = 0;
    } else if (failureRate() < NEWEST) {
      openNanos = FIRST_OPEN_NANOS;
    }
    probing = false;
  }

  /** Notes an end that says nothing about the server's health. */
  void endedWithoutVerdict() {
    probing = false;
  }

  /** Notes a failure. */
  void failed() {
    count(1);
    failuresInRow++;
    probing = false;
  }

  /**
   * Returns whether the breaker is to open.
   *
   * @param poolFailureRate mean failure rate of the servers that do the same work
   */
  boolean shouldOpen(double poolFailureRate) {
    boolean outlier =
        failureRate() > OUTLIER_RATE && failureRate() > OUTLIER_FACTOR * poolFailureRate;
    return open || failuresInRow >= FAILURES_TO_OPEN || outlier;
  }

  /** Opens the breaker, each time in a row for twice as long. */
  void open(long nowNanos) {
    open = true;
    openUntilNanos = nowNanos + openNanos;
    openNanos = Math.min(LONGEST_OPEN_NANOS, 2 * openNanos);
  }

  private void count(int failure) {
    attempts = Math.min(attempts + 1, LEAST_ATTEMPTS);
    failureRate += NEWEST * (failure - failureRate);
  }
}
