package org.teaseltrestle.policy;

/**
 * Limits retries to a ratio of the requests, so that failures do not multiply the load.
 *
 * <p>Resuming a partial response may overdraw the budget: when a failure domain is lost, all its
 * running responses need one more attempt at once. The requests that follow pay the overdraft back,
 * so the ratio holds over time.
 */
final class RetryBudget {

  /** Maximum number of accumulated retries; covers a burst of failures after a quiet period. */
  private static final double MAXIMUM_RETRIES = 100;

  static final double INITIAL_RETRIES = 10;

  /** Share of the common reserve that is assumed until the number of instances is known. */
  private static final double INITIAL_SHARE = 1.0 / 64;

  private final double ratio;
  private final double overdraft;
  private final double sharedReserve;
  private double maximum;
  private double available;

  RetryBudget(PolicyConfiguration configuration) {
    ratio = configuration.retryRatio();
    overdraft = configuration.resumeOverdraft();
    sharedReserve = configuration.sharedRetryReserve();
    maximum = sharedReserve > 0 ? reserve(INITIAL_SHARE) : MAXIMUM_RETRIES;
    available = Math.min(INITIAL_RETRIES, maximum);
  }

  /** Applies this instance's share of the common reserve. */
  void applyShare(double share) {
    if (sharedReserve > 0) {
      double newMaximum = reserve(share);
      // An increase is available at once; otherwise a new fleet would start with almost no retries.
      available = Math.min(newMaximum, available + Math.max(0, newMaximum - maximum));
      maximum = newMaximum;
    }
  }

  /** Records a new request, which adds the retry ratio to the budget. */
  void recordRequest() {
    available = Math.min(maximum, available + ratio);
  }

  /** Takes one retry from the budget; returns false if it holds none. */
  boolean takeRetry() {
    return take(1);
  }

  /**
   * Takes one retry to resume a response, overdrawing the budget if necessary; returns false if the
   * overdraft is used up.
   */
  boolean takeResume() {
    return take(1 - overdraft);
  }

  /** Returns whether the budget holds this many retries; a fraction is an expected number. */
  boolean covers(double retries) {
    return available >= retries;
  }

  /** Takes a retry that has already been sent, overdrawing the budget if necessary. */
  void chargeRetry() {
    available -= 1;
  }

  private double reserve(double share) {
    return Math.max(1, sharedReserve * share);
  }

  private boolean take(double minimum) {
    if (available < minimum) {
      return false;
    }
    available -= 1;
    return true;
  }
}
