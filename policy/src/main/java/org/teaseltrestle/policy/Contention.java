package org.teaseltrestle.policy;

/**
 * Estimates the delay that other entry instances cause at one prefill engine. An instance knows its
 * own queue there but not theirs, so the delay is derived from the duration of recent prefills.
 */
final class Contention {

  /** Half-life of the estimated delay. */
  private static final double HALF_LIFE_NANOS = 400e6;

  /** Weight of the latest prefill in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.6;

  /** Prefills of fewer tokens are not used to estimate an engine's rate. */
  private static final int MINIMUM_SAMPLE_TOKENS = 800;

  /**
   * Factor by which the best time per token grows with each sample, so that an engine may become
   * slower.
   */
  private static final double BEST_RATE_DECAY = 1.01;

  private double bestNanosPerToken;
  private double delayNanos;
  private long recordedAtNanos;

  /**
   * Creates an estimate without delay.
   *
   * @param assumedNanosPerToken prefill time per token that is assumed until one is measured
   */
  Contention(double assumedNanosPerToken) {
    this.bestNanosPerToken = assumedNanosPerToken;
  }

  /**
   * Records a prefill.
   *
   * @param tokens prefilled prompt tokens, including those of own requests that were queued ahead
   * @param nanos duration of the prefill
   */
  void recordPrefill(int tokens, long nanos, long nowNanos) {
    if (tokens >= MINIMUM_SAMPLE_TOKENS) {
      bestNanosPerToken = Math.min(bestNanosPerToken * BEST_RATE_DECAY, (double) nanos / tokens);
    }
    double delay = Math.max(0, nanos - tokens * bestNanosPerToken);
    delayNanos = SMOOTHING_FACTOR * delay + (1 - SMOOTHING_FACTOR) * delayNanos(nowNanos);
    recordedAtNanos = nowNanos;
  }

  /** Returns the estimated delay at this time. */
  double delayNanos(long nowNanos) {
    return delayNanos * Math.pow(0.5, (nowNanos - recordedAtNanos) / HALF_LIFE_NANOS);
  }

  /** Returns the estimated prefill time without requests of other instances. */
  double prefillNanos(int tokens) {
    return tokens * bestNanosPerToken;
  }
}
