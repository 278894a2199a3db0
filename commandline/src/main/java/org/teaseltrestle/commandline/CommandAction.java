package org.teaseltrestle.commandline;

/** A command after its options have been parsed. */
public interface CommandAction {

  /** Runs the command and returns its exit code. */
  ExitCode run(Terminal terminal);
}
