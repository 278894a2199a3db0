package org.teaseltrestle.node.port;

/** What a response says of the requests that its server takes from all instances together. */
public sealed interface StatedLimit {

  /**
   * The response names a limit.
   *
   * @param requestsPerSecond 0 to {@link #MAXIMUM_REQUESTS_PER_SECOND}
   */
  record Limit(double requestsPerSecond) implements StatedLimit {

    /** A limit without effect, which stands for all larger ones. */
    public static final double MAXIMUM_REQUESTS_PER_SECOND = 1e9;

    /**
     * Returns the limit that a number means: 0 if it is negative.
     *
     * @param requestsPerSecond any number but NaN
     */
    public static Limit of(double requestsPerSecond) {
      // Adding 0 turns -0.0 into 0.0.
      return new Limit(Math.max(0, Math.min(requestsPerSecond, MAXIMUM_REQUESTS_PER_SECOND)) + 0.0);
    }
  }

  /** The response names no limit: there is none, or it has ended. */
  record None() implements StatedLimit {}

  /**
   * The response bears a field that is no number: it says neither that there is a limit nor not.
   */
  record Unusable() implements StatedLimit {}
}
