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

/** JSON form of the operators' requests and answers. */
public final class OperatorJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.WRITE_ENUMS_USING_TO_STRING)
          .enable(DeserializationFeature.READ_ENUMS_USING_TO_STRING)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();
  // A client of an older version passes over fields that it does not know.
  private static final ObjectMapper LENIENT =
      MAPPER.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private OperatorJson() {}

  /** Returns the JSON text of a record. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "answer cannot be written as JSON", e);
    }
  }

  /**
   * Reads a request; unknown, missing and null fields are errors.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if the text does not fit
   */
  public static <T> T readRequest(byte[] text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (IOException e) {
      throw malformed(e);
    }
  }

  /**
   * Reads an answer; unknown fields are passed over.
   *
   * @throws TrestleException with {@link ErrorCode#MALFORMED_MESSAGE} if the text does not fit
   */
  public static <T> T readAnswer(String text, Class<T> type) {
    try {
      return LENIENT.readValue(text, type);
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
