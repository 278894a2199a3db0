package org.teaseltrestle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.teaseltrestle.kernel.LogEvent;
import org.testng.annotations.Test;

/** Guards against log events that are missing from docs/events.md, or listed there but removed. */
public final class EventCatalogueTest {

  private static final Path ROOT = Path.of(System.getProperty("trestle.root", ".."));
  private static final Pattern ROW =
      Pattern.compile("\\| ([0-9]{4}) \\| `([A-Z_]+)` \\| (.+?) \\|.*");
  private static final Pattern DECLARATION = Pattern.compile("enum \\w+ implements LogEvent");

  @Test
  public void catalogueMatchesCode() throws Exception {
    Map<Integer, String> declared = new TreeMap<>();
    for (Path source : eventSources()) {
      for (LogEvent event : constantsOf(source)) {
        String previous = declared.put(event.number(), event.name() + ": " + event.text());
        assertEquals(previous, null, "number " + event.number() + " is used twice");
      }
    }
    assertFalse(declared.isEmpty());
    assertEquals(documented(), declared);
  }

  private static List<Path> eventSources() throws IOException {
    List<Path> sources = new ArrayList<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      for (Path file : files.filter(f -> f.toString().endsWith("Event.java")).toList()) {
        if (file.toString().contains("/src/main/java/")
            && DECLARATION.matcher(Files.readString(file)).find()) {
          sources.add(file);
        }
      }
    }
    return sources;
  }

  private static LogEvent[] constantsOf(Path source) throws ClassNotFoundException {
    String path = source.toString();
    String name =
        path.substring(path.indexOf("/src/main/java/") + "/src/main/java/".length())
            .replace(".java", "")
            .replace('/', '.');
    Object[] constants = Class.forName(name).getEnumConstants();
    return Stream.of(constants).map(LogEvent.class::cast).toArray(LogEvent[]::new);
  }

  private static Map<Integer, String> documented() throws IOException {
    Map<Integer, String> rows = new TreeMap<>();
    for (String line : Files.readAllLines(ROOT.resolve("docs/events.md"))) {
      Matcher rowMatcher = ROW.matcher(line);
      if (rowMatcher.matches()) {
        rows.put(
            Integer.valueOf(rowMatcher.group(1)), rowMatcher.group(2) + ": " + rowMatcher.group(3));
      }
    }
    return rows;
  }
}
