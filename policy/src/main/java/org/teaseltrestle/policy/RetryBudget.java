package org.teaseltrestle.policy;

/**
 * Bounds retries to a ratio of the requests, so that failures do not multiply the load.
 *
 * <p>Resuming an answer that has begun may overdraw the budget: when a failure domain vanishes, all
 * its running answers need one more attempt at once. The overdraft is paid back by the requests
 * that follow, so the ratio holds over time.
 */
final class RetryBudget {

  /** Retries that can be saved up; covers a burst of failures after a quiet time. */
  private static final double MAXIMUM = 100;

  private static final double INITIAL = 10;

  private static final double OVERDRAFT = 256;

  private final double ratio;
  private double available = INITIAL;

  RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Counts a first attempt. */
  void earn() {
    available = Math.min(MAXIMUM, available + ratio);
  }

  /** Takes one retry out of the budget if it holds one. */
  boolean takeRetry() {
    return take(1);
  }

  /** Takes one resumption; may overdraw the budget. */
  boolean takeResume() {
    return take(1 - OVERDRAFT);
  }

  private boolean take(double least) {
    if (available < least) {
      return false;
    }
    available -= 1;
    return true;
  }
}
