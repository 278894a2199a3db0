package org.teaseltrestle.testkit.fakes;

/**
 * Settings of the fake platform, under their JSON names.
 *
 * @param listLagMillis delay until a change is visible in the instance lists
 * @param purchaseDelayMillis delay until an ordered backend server is provisioned, before the list
 *     lag
 * @param releaseDelayMillis time for which a released backend server is listed as leaving
 * @param weightRequestsPerSecond maximum fetches of weights per second
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
