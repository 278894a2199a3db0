package org.teaseltrestle.testkit.engine;

/**
 * Speed, memory and delays of a fake engine, under the names of its JSON settings. All times are
 * multiplied by the time factor.
 *
 * @param pieceTokens tokens of one KV cache block
 * @param kvPieces KV cache blocks
 * @param maximumBatch sequences that run at once
 * @param maximumWaiting sequences that may wait; further requests are refused
 * @param prefillChunkTokens maximum prompt tokens of one step in the mixed role
 * @param prefillTokensPerSecond prefill speed in the mixed role
 * @param decodeStepMillis base duration of a step with at least one decoding sequence
 * @param decodeStepMillisPerSequence duration added for each decoding sequence
 * @param roleGain factor by which a role speeds up its own phase and slows down the other one
 * @param roleChangeMillis time without new work during a role change
 * @param loadModelMillis time without new work while a model is loaded
 * @param loadLagMillis minimum age of a load report
 * @param eventLagMillis delay until a cache event is published
 * @param eventGapEvery an event whose sequence number is divisible by this is never published; 0
 *     publishes all
 * @param timeFactor factor on all times; 0.1 runs ten times faster
 */
public record EngineSettings(
    int pieceTokens,
    int kvPieces,
    int maximumBatch,
    int maximumWaiting,
    int prefillChunkTokens,
    double prefillTokensPerSecond,
    double decodeStepMillis,
    double decodeStepMillisPerSequence,
    double roleGain,
    double roleChangeMillis,
    double loadModelMillis,
    double loadLagMillis,
    double eventLagMillis,
    int eventGapEvery,
    double timeFactor) {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Returns settings with which an engine meets both deadlines of a plan under moderate load. */
  public static EngineSettings defaults() {
    return new EngineSettings(
        16, 8192, 32, 256, 192, 10_000, 10, 0.3, 1.8, 3000, 5000, 500, 300, 0, 1.0);
  }

  /** Converts configured milliseconds to nanoseconds of real time, scaled by the time factor. */
  long nanos(double millis) {
    return (long) (millis * timeFactor * NANOS_PER_MILLI);
  }

  /** Returns the duration of one step in nanoseconds of real time. */
  long stepNanos(Role role, int prefillTokens, int decoding) {
    double prefill =
        prefillTokens * 1000 / (prefillTokensPerSecond * role.prefillSpeedFactor(roleGain));
    double decode =
        decoding == 0
            ? 0
            : (decodeStepMillis + decodeStepMillisPerSequence * decoding)
                / role.decodeSpeedFactor(roleGain);
    return nanos(prefill + decode);
  }

  /** Returns the maximum prompt tokens of one step. */
  int chunkTokens(Role role) {
    return switch (role) {
      case PREFILL -> prefillChunkTokens * 8;
      case DECODE -> Math.max(1, prefillChunkTokens / 3);
      case MIXED -> prefillChunkTokens;
    };
  }
}
