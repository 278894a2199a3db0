package org.teaseltrestle.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Reads and writes JSON and reports errors as {@link TrestleException}. */
public final class Json {

  /** Mapper of the test kit; it accepts Java comments and rejects unknown fields. */
  public static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Parses a text; throws {@code MALFORMED_MESSAGE} if it is not JSON. */
  public static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "not JSON", e);
    }
  }

  /** Converts a tree to a value; throws {@code MALFORMED_MESSAGE} if it does not match the type. */
  public static <T> T convert(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, e.getOriginalMessage(), e);
    }
  }

  /** Reads a value from a file; throws {@code FILE_ACCESS} if that fails. */
  public static <T> T read(Path file, Class<T> type) {
    try {
      return MAPPER.readValue(Files.readString(file), type);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + ": " + e.getMessage(), e);
    }
  }

  /** Returns a value as compact JSON. */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "value cannot be written as JSON", e);
    }
  }

  /** Returns a copy of a settings record with the given fields replaced. */
  public static <T> T override(T settings, Class<T> type, JsonNode fields) {
    ObjectNode tree = MAPPER.valueToTree(settings);
    fields.fields().forEachRemaining(field -> tree.set(field.getKey(), field.getValue()));
    return convert(tree, type);
  }
}
