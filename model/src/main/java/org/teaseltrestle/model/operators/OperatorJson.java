package org.teaseltrestle.model.operators;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Locale;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** JSON serialization of the operators' requests and responses. */
public final class OperatorJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.WRITE_ENUMS_USING_TO_STRING)
          .enable(DeserializationFeature.READ_ENUMS_USING_TO_STRING)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();
  // A client of an older version ignores fields that it does not know.
  private static final ObjectMapper LENIENT_MAPPER =
      MAPPER.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private OperatorJson() {}

  /** Returns the JSON text of a record. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "response cannot be written as JSON", e);
    }
  }

  /**
   * Parses a request; unknown, missing and null fields are errors.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if the text is invalid
   */
  public static <T> T readRequest(byte[] text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (IOException e) {
      throw malformed(e);
    }
  }

  /**
   * Parses a response; unknown fields are ignored.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if the text is invalid
   */
  public static <T> T readResponse(String text, Class<T> type) {
    try {
      return LENIENT_MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw malformed(e);
    }
  }

  static String wireName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  private static TrestleException malformed(IOException cause) {
    String message =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : String.valueOf(cause.getMessage());
    return new TrestleException(ErrorCode.MALFORMED_MESSAGE, "not valid: " + message, cause);
  }
}
