package org.teaseltrestle.consensus;

/** Kind of a log entry; the ordinal is stored in files and messages. */
public enum EntryKind {
  /** Marks the start of a term. */
  NO_OP,
  /** Carries a command of the state machine. */
  COMMAND,
  /** Carries an encoded {@link Configuration}. */
  CONFIGURATION
}
