package org.teaseltrestle.policy;

/**
 * Delay at one engine that other entry instances cause, as seen in the last readings of prompts: an
 * instance knows its own queue there, but not theirs.
 */
final class Contention {

  /** Time after which half of a seen delay is expected to be over. */
  private static final double HALF_LIFE_NANOS = 400e6;

  /** Weight of the newest reading. */
  private static final double NEWEST = 0.6;

  /** Readings of fewer tokens say nothing about an engine's rate. */
  private static final int LEAST_TOKENS = 800;

  /** How much a best rate fades with each reading, so that an engine may become slower. */
  private static final double FADING = 1.01;

  private double bestNanosPerToken;
  private double delayNanos;
  private long seenAtNanos;

  /**
   * Creates a state.
   *
   * @param assumedNanosPerToken rate assumed before one is measured
   */
  Contention(double assumedNanosPerToken) {
    this.bestNanosPerToken = assumedNanosPerToken;
  }

  /**
   * Notes a reading.
   *
   * @param tokens prompt tokens read, with those of own requests that were ahead
   * @param nanos time that it took
   */
  void seen(int tokens, long nanos, long nowNanos) {
    if (tokens >= LEAST_TOKENS) {
      bestNanosPerToken = Math.min(bestNanosPerToken * FADING, (double) nanos / tokens);
    }
    double delay = Math.max(0, nanos - tokens * bestNanosPerToken);
    delayNanos = NEWEST * delay + (1 - NEWEST) * delayNanos(nowNanos);
    seenAtNanos = nowNanos;
  }

  /** Returns the delay expected now. */
  double delayNanos(long nowNanos) {
    return delayNanos * Math.pow(0.5, (nowNanos - seenAtNanos) / HALF_LIFE_NANOS);
  }

  /** Returns the time that reading takes without anybody else. */
  double readingNanos(int tokens) {
    return tokens * bestNanosPerToken;
  }
}
