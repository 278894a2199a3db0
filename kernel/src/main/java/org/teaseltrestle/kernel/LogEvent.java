package org.teaseltrestle.kernel;

/** A type of log line with a stable number; each module implements it by an enum. */
public interface LogEvent {

  /** Returns the stable number listed in docs/events.md. */
  int number();

  /** Returns the constant's name. */
  String name();

  /** Returns the fixed text of the line. */
  String text();
}
