package org.teaseltrestle.model.serving;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maximumHeaderBytes bytes of the request line and header fields
 * @param maximumBodyBytes bytes of the body
 * @param headerTimeoutMillis time for the header
 * @param idleTimeoutMillis time for which a connection may be idle
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis) {

  /** Limits of a configuration that states none. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);
}
