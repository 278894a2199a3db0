package org.teaseltrestle.control.leader;

import java.util.concurrent.TimeUnit;

/**
 * Lengths that the authority lease is made of.
 *
 * @param leaseNanos length of the lease from the send time of an acknowledged heartbeat round; it
 *     must be shorter than the minimum election timeout
 * @param callTimeoutNanos longest time that an outward call may be under way
 */
public record LeaseTimings(long leaseNanos, long callTimeoutNanos) {

  /** Timings for an election timeout of at least 1,000 ms. */
  public static final LeaseTimings DEFAULT =
      new LeaseTimings(TimeUnit.MILLISECONDS.toNanos(900), TimeUnit.MILLISECONDS.toNanos(2_000));

  // Rates of two monotonic clocks differ by at most 2%.
  private static final double DRIFT = 0.02;

  /** Returns the end of the own lease, early by the drift. */
  long leaseEnd(long roundSentAtNanos) {
    return roundSentAtNanos + (long) (leaseNanos * (1 - DRIFT));
  }

  /** Returns the time at which a predecessor's last call has surely ended, late by the drift. */
  long predecessorEnded(long electedAtNanos) {
    return electedAtNanos + (long) ((leaseNanos + callTimeoutNanos) * (1 + DRIFT));
  }

  /** Returns the time at which a call of a process that ended has surely ended too. */
  long callEnded(long processEndedAtNanos) {
    return processEndedAtNanos + (long) (callTimeoutNanos * (1 + DRIFT));
  }
}
