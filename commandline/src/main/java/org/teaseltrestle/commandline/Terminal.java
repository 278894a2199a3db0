package org.teaseltrestle.commandline;

import java.io.PrintStream;
import java.util.Map;

/**
 * Output streams and environment of a command.
 *
 * @param output standard output, for results only
 * @param error standard error, for messages
 * @param environment environment variables
 */
public record Terminal(PrintStream output, PrintStream error, Map<String, String> environment) {

  /** Copies the environment variables. */
  public Terminal {
    environment = Map.copyOf(environment);
  }
}
