package org.teaseltrestle.control.leader;

import java.util.concurrent.TimeUnit;

/**
 * Durations that determine the authority lease.
 *
 * @param leaseNanos duration of the lease from the send time of an acknowledged heartbeat round;
 *     must be shorter than the minimum election timeout
 * @param callTimeoutNanos maximum duration of an external call
 */
public record LeaseTimings(long leaseNanos, long callTimeoutNanos) {

  /** Timings for an election timeout of at least 1,000 ms. */
  public static final LeaseTimings DEFAULT =
      new LeaseTimings(TimeUnit.MILLISECONDS.toNanos(900), TimeUnit.MILLISECONDS.toNanos(2_000));

  // Rates of two monotonic clocks differ by at most 2%.
  private static final double MAXIMUM_CLOCK_DRIFT = 0.02;

  /** Returns the end of this replica's lease, early by the maximum drift. */
  long leaseEndNanos(long roundSentAtNanos) {
    return roundSentAtNanos + (long) (leaseNanos * (1 - MAXIMUM_CLOCK_DRIFT));
  }

  /** Returns the time by which the last call of a predecessor has ended even at maximum drift. */
  long predecessorCallsEndNanos(long electedAtNanos) {
    return electedAtNanos + (long) ((leaseNanos + callTimeoutNanos) * (1 + MAXIMUM_CLOCK_DRIFT));
  }

  /**
   * Returns the time by which the last call of an ended process has ended even at maximum drift.
   */
  long callsEndNanos(long processEndedAtNanos) {
    return processEndedAtNanos + (long) (callTimeoutNanos * (1 + MAXIMUM_CLOCK_DRIFT));
  }
}
