package org.teaseltrestle.model;

/**
 * Position in an input file.
 *
 * @param file name of the file as the user gave it
 * @param line line number, from 1
 * @param column column number, from 1
 * @param path JSON pointer to the value
 */
public record SourceLocation(String file, int line, int column, String path) {

  @Override
  public String toString() {
    return file + ":" + line + ":" + column + " " + path;
  }
}
