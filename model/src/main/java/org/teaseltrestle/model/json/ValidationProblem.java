package org.teaseltrestle.model.json;

import org.teaseltrestle.model.SourceLocation;

/**
 * One error found in a list or settings file.
 *
 * @param location where the error was found
 * @param message what is wrong and what is expected
 */
public record ValidationProblem(SourceLocation location, String message) {

  @Override
  public String toString() {
    return location + ": " + message;
  }
}
