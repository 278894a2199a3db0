package org.teaseltrestle.model.serving;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maximumHeaderBytes maximum size of the request line and header fields, in bytes
 * @param maximumBodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMillis time within which the header must be received
 * @param idleTimeoutMillis time for which a connection may be idle
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis) {

  /** Limits that apply where a configuration specifies none. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);
}
