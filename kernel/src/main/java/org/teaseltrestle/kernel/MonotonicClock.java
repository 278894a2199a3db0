package org.teaseltrestle.kernel;

/** Clock for deadlines and durations; its values are comparable only within one process. */
@FunctionalInterface
public interface MonotonicClock {

  /** The clock of the running Java process. */
  MonotonicClock SYSTEM = System::nanoTime;

  /** Returns the current reading in nanoseconds. */
  long nowNanos();
}
