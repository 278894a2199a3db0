package org.teaseltrestle.consensus;

/** Kind of a log entry. Files and messages hold the ordinal, so the order must not change. */
public enum EntryKind {
  /** Marks the start of a term. */
  NO_OP,
  /** Carries a command of the state machine. */
  COMMAND,
  /** Carries an encoded {@link Configuration}. */
  CONFIGURATION
}
