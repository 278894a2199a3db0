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

  /** Share of the common reserve before the number of instances is known. */
  private static final double CAUTIOUS_SHARE = 1.0 / 64;

  private final double ratio;
  private final double overdraft;
  private final double sharedReserve;
  private double maximum;
  private double available;

  RetryBudget(PolicyConfiguration configuration) {
    ratio = configuration.retryRatio();
    overdraft = configuration.resumeOverdraft();
    sharedReserve = configuration.sharedRetryReserve();
    maximum = sharedReserve > 0 ? reserve(CAUTIOUS_SHARE) : MAXIMUM;
    available = Math.min(INITIAL, maximum);
  }

  /** Takes over this instance's part of the common reserve. */
  void share(double share) {
    if (sharedReserve > 0) {
      double changed = reserve(share);
      // A reserve that grows is granted at once, or a fleet would start without any.
      available = Math.min(changed, available + Math.max(0, changed - maximum));
      maximum = changed;
    }
  }

  /** Counts a first attempt. */
  void earn() {
    available = Math.min(maximum, available + ratio);
  }

  /** Takes one retry out of the budget if it holds one. */
  boolean takeRetry() {
    return take(1);
  }

  /** Takes one resumption; may overdraw the budget. */
  boolean takeResume() {
    return take(1 - overdraft);
  }

  private double reserve(double share) {
    return Math.max(1, sharedReserve * share);
  }

  private boolean take(double least) {
    if (available < least) {
      return false;
    }
    available -= 1;
    return true;
  }
}
