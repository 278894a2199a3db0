package org.teaseltrestle.kernel;

/** A kind of log line with a stable number; implemented by one enum for each module. */
public interface LogEvent {

  /** Returns the stable number listed in docs/events.md. */
  int number();

  /** Returns the constant's name. */
  String name();

  /** Returns the fixed text of the line. */
  String text();
}
