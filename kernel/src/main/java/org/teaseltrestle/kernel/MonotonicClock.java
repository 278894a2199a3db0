package org.teaseltrestle.kernel;

/** Clock for deadlines; its values have no meaning outside the process. */
@FunctionalInterface
public interface MonotonicClock {

  /** The clock of the running Java process. */
  MonotonicClock SYSTEM = System::nanoTime;

  /** Returns the current reading in nanoseconds. */
  long nowNanos();
}
