package org.teaseltrestle.testkit.trace;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.SourceLocation;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.Json;

/** Reads and writes traces as JSON lines; lines that start with {@code //} are comments. */
public final class TraceFile {

  private static final String COMMENT_PREFIX = "//";

  private TraceFile() {}

  /**
   * Reads a trace; throws {@code INVALID_LIST} with the location of the first invalid line, or
   * {@code FILE_ACCESS} if the file cannot be read.
   */
  public static List<TraceEntry> read(Path file) {
    List<TraceEntry> entries = new ArrayList<>();
    int lineNumber = 0;
    for (String line : readLines(file)) {
      lineNumber++;
      if (line.isBlank() || line.startsWith(COMMENT_PREFIX)) {
        continue;
      }
      try {
        entries.add(validate(Json.convert(Json.parse(line), TraceEntry.class)));
      } catch (TrestleException e) {
        throw new TrestleException(
            ErrorCode.INVALID_LIST,
            String.valueOf(e.getMessage()),
            new SourceLocation(file.toString(), lineNumber, 1, "$"),
            e);
      }
    }
    return entries;
  }

  /** Writes a trace after comment lines; throws {@code FILE_ACCESS} if that fails. */
  public static void write(Path file, List<String> comments, List<TraceEntry> entries) {
    StringBuilder text = new StringBuilder();
    comments.forEach(
        comment -> text.append(COMMENT_PREFIX).append(' ').append(comment).append('\n'));
    entries.forEach(entry -> text.append(Json.text(entry)).append('\n'));
    try {
      Files.writeString(file, text.toString());
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
  }

  @SuppressWarnings("ConstantValue")
  private static TraceEntry validate(TraceEntry entry) {
    if ((entry.model() == null) == (entry.service() == null)) {
      throw new TrestleException(
          ErrorCode.INVALID_LIST, "a request needs either a model or a service");
    }
    if (entry.expect() == null) {
      return entry.withExpectedOutcome(TraceEntry.COMPLETED);
    }
    return entry;
  }

  private static List<String> readLines(Path file) {
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be read", e);
    }
  }
}
