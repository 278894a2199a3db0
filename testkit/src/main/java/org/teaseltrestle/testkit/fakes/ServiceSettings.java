package org.teaseltrestle.testkit.fakes;

/**
 * Behaviour of a fake service.
 *
 * @param delayMillis time that a call takes
 * @param maximumRunning calls run at once; more wait
 */
public record ServiceSettings(long delayMillis, int maximumRunning) {

  /** Returns the defaults. */
  public static ServiceSettings defaults() {
    return new ServiceSettings(20, 16);
  }
}
