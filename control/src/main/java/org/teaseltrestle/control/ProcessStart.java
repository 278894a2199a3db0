package org.teaseltrestle.control;

import java.util.Comparator;

/**
 * Identifies one start of the process of an instance.
 *
 * @param instance instance id
 * @param boot boot ID, a random number chosen at the start of the process
 */
record ProcessStart(String instance, long boot) implements Comparable<ProcessStart> {

  private static final Comparator<ProcessStart> ORDER =
      Comparator.comparing(ProcessStart::instance).thenComparingLong(ProcessStart::boot);

  @Override
  public int compareTo(ProcessStart other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return instance + "#" + Long.toHexString(boot);
  }
}
