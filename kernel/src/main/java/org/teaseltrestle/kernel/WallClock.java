package org.teaseltrestle.kernel;

/** Clock for timestamps in output and records; it may jump, so it must not be used for leases. */
@FunctionalInterface
public interface WallClock {

  /** The clock of the operating system. */
  WallClock SYSTEM = System::currentTimeMillis;

  /** Returns milliseconds since 1970-01-01T00:00:00Z. */
  long nowMillis();
}
