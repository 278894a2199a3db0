package org.teaseltrestle.testkit.fakes;

/**
 * Behaviour of the fake platform.
 *
 * @param listLagMillis age of the instance list and the list of entry instances
 * @param purchaseDelayMillis time until an ordered backend server is listed
 * @param releaseDelayMillis time that a released backend server is listed as leaving
 * @param weightRequestsPerSecond fetches of weights allowed a second
 */
public record PlatformSettings(
    long listLagMillis,
    long purchaseDelayMillis,
    long releaseDelayMillis,
    int weightRequestsPerSecond) {

  /** Returns the defaults. */
  public static PlatformSettings defaults() {
    return new PlatformSettings(500, 3000, 2000, 2);
  }
}
