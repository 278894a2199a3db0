package org.teaseltrestle.policy;

/**
 * Measured speed of one backend server: prefill, time between tokens, and complete service calls.
 */
final class EngineSpeed {

  /** Weight of the earlier measurements in the moving averages. */
  private static final double DECAY_FACTOR = 0.9;

  /**
   * Part of each measured time to first token that does not depend on the prompt: connection and
   * first step.
   */
  private static final long FIXED_OVERHEAD_NANOS = 6_000_000L;

  /**
   * Weight of the assumed prefill rate, as a number of measured tokens; a few prompts outweigh it.
   */
  private static final double ASSUMED_TOKENS = 2_000;

  private static final double ASSUMED_TOKEN_NANOS = 30e6;
  private static final double ASSUMED_CALL_NANOS = 20e6;

  /**
   * Factor by which an engine is assumed to be slower than a mixed one at work that its role is not
   * meant for.
   */
  private static final double UNSUITED_ROLE_FACTOR = 2;

  private final double assumedNanosPerToken;
  private EngineRole role = EngineRole.MIXED;
  private double prefillTokens;
  private double prefillNanos;
  private double tokenNanos = ASSUMED_TOKEN_NANOS;
  private boolean tokenMeasured;
  private double callNanos = ASSUMED_CALL_NANOS;

  EngineSpeed(double assumedPrefillTokensPerSecond) {
    assumedNanosPerToken = 1e9 / assumedPrefillTokensPerSecond;
    reset();
  }

  /** Sets the role; a change discards the measurements, which do not apply to another role. */
  void setRole(EngineRole newRole) {
    if (role != newRole) {
      role = newRole;
      reset();
    }
  }

  /**
   * Records the time to the first token of an attempt.
   *
   * @param tokens prompt tokens prefilled until then, including those queued ahead
   */
  void recordPrefill(int tokens, long nanos) {
    prefillTokens = prefillTokens * DECAY_FACTOR + tokens;
    prefillNanos = prefillNanos * DECAY_FACTOR + Math.max(nanos / 2, nanos - FIXED_OVERHEAD_NANOS);
  }

  /** Records the time that a response took for this number of tokens after the first. */
  void recordDecode(int tokens, long nanos) {
    double sample = (double) nanos / tokens;
    tokenNanos = tokenMeasured ? tokenNanos * DECAY_FACTOR + sample * (1 - DECAY_FACTOR) : sample;
    tokenMeasured = true;
  }

  /** Records the duration of a service call. */
  void recordCall(long nanos) {
    callNanos = callNanos * DECAY_FACTOR + nanos * (1 - DECAY_FACTOR);
  }

  /** Returns the estimated time in nanoseconds to prefill this number of tokens. */
  double prefillNanos(int tokens) {
    return prefillTokens <= 0 ? 0 : tokens * prefillNanos / prefillTokens;
  }

  /** Returns the estimated time in nanoseconds between two tokens. */
  double tokenNanos() {
    return tokenMeasured ? tokenNanos : ASSUMED_TOKEN_NANOS * decodeFactor();
  }

  double callNanos() {
    return callNanos;
  }

  private void reset() {
    prefillTokens = ASSUMED_TOKENS;
    prefillNanos =
        ASSUMED_TOKENS
            * assumedNanosPerToken
            * (role == EngineRole.DECODE ? UNSUITED_ROLE_FACTOR : 1);
    tokenMeasured = false;
  }

  private double decodeFactor() {
    return role == EngineRole.PREFILL ? UNSUITED_ROLE_FACTOR : 1;
  }
}
