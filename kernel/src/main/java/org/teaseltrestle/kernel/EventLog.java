package org.teaseltrestle.kernel;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Writes numbered log events in the format {@code E<number> <text> <name>=<value> ...}. */
public final class EventLog {

  private final Logger logger;

  private EventLog(Logger logger) {
    this.logger = logger;
  }

  /** Returns the event log of a class. */
  public static EventLog of(Class<?> owner) {
    return new EventLog(LoggerFactory.getLogger(owner));
  }

  /**
   * Writes an informational event.
   *
   * @param namesAndValues alternating names and values
   */
  public void info(LogEvent event, @Nullable Object... namesAndValues) {
    write(Level.INFO, event, null, namesAndValues);
  }

  /** Writes an event that an operator should look at. */
  public void warn(LogEvent event, @Nullable Object... namesAndValues) {
    write(Level.WARN, event, null, namesAndValues);
  }

  /** Writes an event that an operator should look at, with its cause. */
  public void warn(LogEvent event, Throwable cause, @Nullable Object... namesAndValues) {
    write(Level.WARN, event, cause, namesAndValues);
  }

  /** Writes a failure, with its cause if there is one. */
  public void error(LogEvent event, @Nullable Throwable cause, @Nullable Object... namesAndValues) {
    write(Level.ERROR, event, cause, namesAndValues);
  }

  private void write(
      Level level, LogEvent event, @Nullable Throwable cause, @Nullable Object... namesAndValues) {
    if (!logger.isEnabledForLevel(level)) {
      return;
    }
    StringBuilder line = new StringBuilder(96);
    line.append('E').append(event.number()).append(' ').append(event.text());
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      line.append(' ').append(namesAndValues[i]).append('=').append(namesAndValues[i + 1]);
    }
    logger.atLevel(level).setCause(cause).log(line.toString());
  }
}
