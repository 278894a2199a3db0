package org.teaseltrestle.policy;

/**
 * Number of requests that one engine may run while its time between tokens stays within the target.
 * Rises by one and falls by a tenth, at most once a second, because measurements lag by the length
 * of an answer.
 */
final class RunningLimit {

  private static final long STEP_NANOS = 1_000_000_000L;
  private static final double DECREASE = 0.9;
  private static final double LEAST = 4;

  /** Part of the limit that must be in use before it rises. */
  private static final double IN_USE = 0.8;

  private final double maximum;
  private final double targetNanos;
  private double limit;
  private long steppedAtNanos = Long.MIN_VALUE;

  RunningLimit(int maximum, long targetNanos) {
    this.maximum = maximum;
    this.targetNanos = targetNanos;
    this.limit = maximum;
  }

  /** Notes the mean time between tokens of an answer, and how many requests run. */
  void observed(double tokenNanos, int running, long nowNanos) {
    if (steppedAtNanos != Long.MIN_VALUE && nowNanos - steppedAtNanos < STEP_NANOS) {
      return;
    }
    if (tokenNanos > targetNanos) {
      limit = Math.max(LEAST, Math.min(limit, running + 1) * DECREASE);
      steppedAtNanos = nowNanos;
    } else if (limit < maximum && running >= limit * IN_USE) {
      limit = Math.min(maximum, limit + 1);
      steppedAtNanos = nowNanos;
    }
  }

  int limit() {
    return (int) limit;
  }
}
