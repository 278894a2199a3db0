package org.teaseltrestle.policy;

/**
 * Rate at which work leaves a queue while it is backlogged. It covers every bottleneck behind the
 * queue, whether prefill, cache memory or running requests.
 */
final class DrainRate {

  /** Weight that older samples keep; about the last 50 dispatches count. */
  private static final double KEPT = 0.98;

  /** Dispatches before the rate says anything. */
  private static final int LEAST_SAMPLES = 10;

  private double work;
  private double nanos;
  private int samples;
  private long lastNanos;
  private boolean wasBacklogged;

  /** Notes a dispatch; {@code backlogged} tells whether other requests go on waiting. */
  void dispatched(int tokens, boolean backlogged, long nowNanos) {
    if (wasBacklogged) {
      work = work * KEPT + tokens;
      nanos = nanos * KEPT + (nowNanos - lastNanos);
      samples = Math.min(LEAST_SAMPLES, samples + 1);
    }
    lastNanos = nowNanos;
    wasBacklogged = backlogged;
  }

  /** Notes that the queue is empty: the time until the next dispatch says nothing. */
  void idle() {
    wasBacklogged = false;
  }

  /** Returns the time in nanoseconds that this work needs, 0 if no rate is known. */
  long timeFor(double tokens, long nowNanos) {
    if (samples < LEAST_SAMPLES || work <= 0) {
      return 0;
    }
    // Time without any dispatch counts too, or a stalled pool would look as fast as before.
    double elapsed = nanos + (wasBacklogged ? nowNanos - lastNanos : 0);
    return (long) (tokens * elapsed / work);
  }
}
