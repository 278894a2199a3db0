package org.teaseltrestle.commandline;

import java.io.PrintStream;
import java.util.Map;

/**
 * What a command may use of its process.
 *
 * @param output standard output, for results only
 * @param error standard error, for messages
 * @param environment environment variables
 */
public record Terminal(PrintStream output, PrintStream error, Map<String, String> environment) {

  /** Copies the variables. */
  public Terminal {
    environment = Map.copyOf(environment);
  }
}
