package org.teaseltrestle.testkit.fakes;

/**
 * Settings of a fake service, under their JSON names.
 *
 * @param delayMillis duration of a call
 * @param maximumRunning calls that run at once; further calls wait
 */
public record ServiceSettings(long delayMillis, int maximumRunning) {

  /** Returns the defaults. */
  public static ServiceSettings defaults() {
    return new ServiceSettings(20, 16);
  }
}
