package org.teaseltrestle.policy;

/** Measured speed of one backend server: prefill, time between tokens, and whole calls. */
final class EngineSpeed {

  /** Weight that older measurements keep. */
  private static final double KEPT = 0.9;

  /** Part of each measurement that does not depend on the prompt: connection and first step. */
  private static final long FIXED_NANOS = 6_000_000L;

  /** Weight of the assumed prefill rate, in tokens; a few prompts outweigh it. */
  private static final double ASSUMED_TOKENS = 2_000;

  private static final double ASSUMED_TOKEN_NANOS = 30e6;
  private static final double ASSUMED_CALL_NANOS = 20e6;

  /** How much slower than a mixed engine another role is assumed to do the other's work. */
  private static final double UNSUITED = 2;

  private final double assumedNanosPerToken;
  private EngineRole role = EngineRole.MIXED;
  private double prefillTokens;
  private double prefillNanos;
  private double tokenNanos = ASSUMED_TOKEN_NANOS;
  private boolean tokenMeasured;
  private double callNanos = ASSUMED_CALL_NANOS;

  EngineSpeed(double assumedPrefillTokensPerSecond) {
    assumedNanosPerToken = 1e9 / assumedPrefillTokensPerSecond;
    forget();
  }

  /** Notes the role; measurements in another role say nothing and are forgotten. */
  void inRole(EngineRole newRole) {
    if (role != newRole) {
      role = newRole;
      forget();
    }
  }

  /**
   * Notes the first token of an attempt.
   *
   * @param tokens prompt tokens that were prefilled until then, those ahead included
   */
  void prefilled(int tokens, long nanos) {
    prefillTokens = prefillTokens * KEPT + tokens;
    prefillNanos = prefillNanos * KEPT + Math.max(nanos / 2, nanos - FIXED_NANOS);
  }

  /** Notes the time between tokens of one answer. */
  void decoded(int tokens, long nanos) {
    double sample = (double) nanos / tokens;
    tokenNanos = tokenMeasured ? tokenNanos * KEPT + sample * (1 - KEPT) : sample;
    tokenMeasured = true;
  }

  /** Notes a whole service call. */
  void called(long nanos) {
    callNanos = callNanos * KEPT + nanos * (1 - KEPT);
  }

  /** Returns the estimated time of prefilling this number of tokens. */
  double prefillNanos(int tokens) {
    return prefillTokens <= 0 ? 0 : tokens * prefillNanos / prefillTokens;
  }

  /** Returns the estimated time between two tokens. */
  double tokenNanos() {
    return tokenMeasured ? tokenNanos : ASSUMED_TOKEN_NANOS * decodeFactor();
  }

  double callNanos() {
    return callNanos;
  }

  private void forget() {
    prefillTokens = ASSUMED_TOKENS;
    prefillNanos =
        ASSUMED_TOKENS * assumedNanosPerToken * (role == EngineRole.DECODE ? UNSUITED : 1);
    tokenMeasured = false;
  }

  private double decodeFactor() {
    return role == EngineRole.PREFILL ? UNSUITED : 1;
  }
}
