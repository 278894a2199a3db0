package org.teaseltrestle.policy;

/**
 * Rate at which work leaves a queue while it is backlogged. It reflects whatever limits dispatch:
 * prefill, KV cache memory or running requests.
 */
final class DrainRate {

  /**
   * Weight of the earlier samples in the moving average, which covers about the last 50 dispatches.
   */
  private static final double DECAY_FACTOR = 0.98;

  /** Dispatches before the rate is used. */
  private static final int MINIMUM_SAMPLES = 10;

  private double work;
  private double nanos;
  private int samples;
  private long lastDispatchNanos;
  private boolean wasBacklogged;

  /** Records a dispatch; {@code backlogged} is true if other requests are still waiting. */
  void dispatched(int tokens, boolean backlogged, long nowNanos) {
    if (wasBacklogged) {
      work = work * DECAY_FACTOR + tokens;
      nanos = nanos * DECAY_FACTOR + (nowNanos - lastDispatchNanos);
      samples = Math.min(MINIMUM_SAMPLES, samples + 1);
    }
    lastDispatchNanos = nowNanos;
    wasBacklogged = backlogged;
  }

  /** Records that the queue is empty, so that the time until the next dispatch is not counted. */
  void idle() {
    wasBacklogged = false;
  }

  /**
   * Returns the estimated time in nanoseconds until this work has left the queue, 0 if no rate is
   * known.
   */
  long timeFor(double tokens, long nowNanos) {
    if (samples < MINIMUM_SAMPLES || work <= 0) {
      return 0;
    }
    // The time since the last dispatch counts too; otherwise a stalled pool would keep its former
    // rate.
    double totalNanos = nanos + (wasBacklogged ? nowNanos - lastDispatchNanos : 0);
    return (long) (tokens * totalNanos / work);
  }
}
