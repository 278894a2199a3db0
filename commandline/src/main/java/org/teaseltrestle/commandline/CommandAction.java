package org.teaseltrestle.commandline;

/** Command whose options have been parsed. */
public interface CommandAction {

  /** Runs the command and returns its exit code. */
  ExitCode run(Terminal terminal);
}
