package org.teaseltrestle.model.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.model.SourceLocation;

/** Parses JSON with comments into values that carry their location. */
public final class LocatedJsonParser {

  private static final JsonFactory FACTORY =
      JsonFactory.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  private final String file;
  private final JsonParser parser;
  private final ProblemCollector problems;

  private LocatedJsonParser(String file, JsonParser parser, ProblemCollector problems) {
    this.file = file;
    this.parser = parser;
    this.problems = problems;
  }

  /**
   * Parses a complete document. Duplicate members are reported and the first one is kept; a syntax
   * error is reported and ends the parse.
   *
   * @param file name of the file for locations
   * @param text content of the file
   * @param problems collects the errors
   * @return the value, empty after a syntax error
   */
  public static Optional<LocatedValue> parse(String file, String text, ProblemCollector problems) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new LocatedJsonParser(file, parser, problems).parseDocument();
    } catch (JsonProcessingException e) {
      JsonLocation jsonLocation = e.getLocation();
      int line = jsonLocation == null ? 1 : Math.max(1, jsonLocation.getLineNr());
      int column = jsonLocation == null ? 1 : Math.max(1, jsonLocation.getColumnNr());
      problems.add(
          new SourceLocation(file, line, column, ""), "not valid JSON: " + e.getOriginalMessage());
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Optional<LocatedValue> parseDocument() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(new SourceLocation(file, 1, 1, ""), "the file holds no JSON value");
      return Optional.empty();
    }
    LocatedValue value = parseValue("");
    if (parser.nextToken() != null) {
      problems.add(currentLocation(""), "unexpected content after the JSON value");
    }
    return Optional.of(value);
  }

  private LocatedValue parseValue(String path) throws IOException {
    SourceLocation location = currentLocation(path);
    return switch (parser.currentToken()) {
      case START_OBJECT -> parseObject(location);
      case START_ARRAY -> parseArray(location);
      case VALUE_STRING -> new LocatedValue.StringValue(location, parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
          new LocatedValue.NumberValue(location, parser.getDecimalValue());
      case VALUE_TRUE -> new LocatedValue.BooleanValue(location, true);
      case VALUE_FALSE -> new LocatedValue.BooleanValue(location, false);
      default -> new LocatedValue.NullValue(location);
    };
  }

  private LocatedValue parseObject(SourceLocation location) throws IOException {
    Map<String, LocatedValue.Member> members = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      String path = location.path() + "/" + escapePointerToken(name);
      SourceLocation nameLocation = currentLocation(path);
      parser.nextToken();
      LocatedValue value = parseValue(path);
      if (members.putIfAbsent(name, new LocatedValue.Member(nameLocation, value)) != null) {
        problems.add(nameLocation, "duplicate field \"" + name + "\"");
      }
    }
    return new LocatedValue.ObjectValue(location, members);
  }

  private LocatedValue parseArray(SourceLocation location) throws IOException {
    List<LocatedValue> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(parseValue(location.path() + "/" + elements.size()));
    }
    return new LocatedValue.ArrayValue(location, elements);
  }

  private SourceLocation currentLocation(String path) {
    JsonLocation jsonLocation = parser.currentTokenLocation();
    return new SourceLocation(file, jsonLocation.getLineNr(), jsonLocation.getColumnNr(), path);
  }

  private static String escapePointerToken(String name) {
    return name.replace("~", "~0").replace("/", "~1");
  }
}
