package org.teaseltrestle.testkit.engine;

/**
 * Speed, memory and lags of a fake engine. All times are multiplied by the time factor.
 *
 * @param pieceTokens tokens of one piece of KV cache
 * @param kvPieces pieces of KV cache
 * @param maximumBatch sequences worked on at once
 * @param maximumWaiting sequences that may wait; more are refused
 * @param prefillChunkTokens prompt tokens of one step in the mixed role
 * @param prefillTokensPerSecond prompt tokens a second in the mixed role
 * @param decodeStepMillis time of a step with at least one decoding sequence
 * @param decodeStepMillisPerSequence added for each decoding sequence
 * @param roleGain factor on the speed of a role's own phase; the other phase is slower by it
 * @param roleChangeMillis time that a role change takes the engine away
 * @param loadModelMillis time that loading a model takes the engine away
 * @param loadLagMillis age of a load report
 * @param eventLagMillis age of the newest published cache event
 * @param eventGapEvery each event with a sequence divisible by this is never published; 0: none
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

  /** Returns settings of an engine that can hold both deadlines of a plan under moderate load. */
  public static EngineSettings defaults() {
    return new EngineSettings(
        16, 8192, 32, 256, 192, 10_000, 10, 0.3, 1.8, 3000, 5000, 500, 300, 0, 1.0);
  }

  /** Converts milliseconds of the engine to nanoseconds of the machine. */
  long nanos(double millis) {
    return (long) (millis * timeFactor * NANOS_PER_MILLI);
  }

  /** Returns the time of one step in nanoseconds. */
  long stepNanos(Role role, int prefillTokens, int decoding) {
    double prefill = prefillTokens * 1000 / (prefillTokensPerSecond * role.prefillGain(roleGain));
    double decode =
        decoding == 0
            ? 0
            : (decodeStepMillis + decodeStepMillisPerSequence * decoding)
                / role.decodeGain(roleGain);
    return nanos(prefill + decode);
  }

  /** Returns the prompt tokens that one step takes at most. */
  int chunkTokens(Role role) {
    return switch (role) {
      case PREFILL -> prefillChunkTokens * 8;
      case DECODE -> Math.max(1, prefillChunkTokens / 3);
      case MIXED -> prefillChunkTokens;
    };
  }
}
