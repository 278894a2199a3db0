package org.teaseltrestle.policy;

/**
 * Adaptive limit on the requests that one engine runs, which keeps its time between tokens within
 * the target. Additive increase by one and multiplicative decrease by a tenth, at most once per
 * second, because measurements lag by the length of a response.
 */
final class RunningLimit {

  private static final long CHANGE_INTERVAL_NANOS = 1_000_000_000L;
  private static final double DECREASE_FACTOR = 0.9;
  private static final double MINIMUM = 4;

  /** Fraction of the limit that must be in use before it rises. */
  private static final double MINIMUM_USE = 0.8;

  private final double maximum;
  private final double targetNanos;
  private double limit;
  private long changedAtNanos = Long.MIN_VALUE;

  RunningLimit(int maximum, long targetNanos) {
    this.maximum = maximum;
    this.targetNanos = targetNanos;
    this.limit = maximum;
  }

  /**
   * Updates the limit from the mean time between tokens of a response and the number of running
   * requests.
   */
  void update(double tokenNanos, int running, long nowNanos) {
    if (changedAtNanos != Long.MIN_VALUE && nowNanos - changedAtNanos < CHANGE_INTERVAL_NANOS) {
      return;
    }
    if (tokenNanos > targetNanos) {
      limit = Math.max(MINIMUM, Math.min(limit, running + 1) * DECREASE_FACTOR);
      changedAtNanos = nowNanos;
    } else if (limit < maximum && running >= limit * MINIMUM_USE) {
      limit = Math.min(maximum, limit + 1);
      changedAtNanos = nowNanos;
    }
  }

  int limit() {
    return (int) limit;
  }
}
