package org.teaseltrestle.node.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RefusalCode;

/** Validated body of a completion request. */
final class CompletionRequest {

  /** Response form that the caller requested. */
  enum ResponseForm {
    STREAM,
    BUFFERED
  }

  /** Endpoint, which determines the format of request and response. */
  enum Endpoint {
    CHAT("/v1/chat/completions"),
    TEXT("/v1/completions");

    private final String path;

    Endpoint(String path) {
      this.path = path;
    }

    String path() {
      return path;
    }
  }

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final String RESUME_FIELD = "trestle_resume";
  private static final int DEFAULT_OUTPUT_TOKENS = 256;
  private static final int MAXIMUM_OUTPUT_TOKENS = 1_000_000;

  private final Endpoint endpoint;
  private final ObjectNode body;
  private final ItemName model;
  private final ResponseForm form;
  private final PromptText prompt;
  private final int expectedOutputTokens;

  private CompletionRequest(Endpoint endpoint, ObjectNode body) {
    this.endpoint = endpoint;
    this.body = body;
    this.model = modelOf(body);
    this.form = booleanField(body, "stream") ? ResponseForm.STREAM : ResponseForm.BUFFERED;
    this.prompt = promptOf(endpoint, body);
    this.expectedOutputTokens = outputTokensOf(body);
    if (body.path("n").asInt(1) != 1 || body.path("best_of").asInt(1) != 1) {
      throw malformed("only one choice per request is supported");
    }
    body.put("stream", true);
    body.remove(RESUME_FIELD);
  }

  /**
   * Parses and validates a body.
   *
   * @throws RefusalException if it is not a completion request
   */
  static CompletionRequest parse(Endpoint endpoint, byte[] bytes) {
    try {
      JsonNode node = JSON.readTree(bytes);
      if (!(node instanceof ObjectNode body)) {
        throw malformed("the request body must be a JSON object");
      }
      return new CompletionRequest(endpoint, body);
    } catch (JsonProcessingException e) {
      String where =
          e.getLocation() == null
              ? ""
              : " near line "
                  + e.getLocation().getLineNr()
                  + " column "
                  + e.getLocation().getColumnNr();
      throw malformed("the request body is not valid JSON" + where);
    } catch (IOException e) {
      throw malformed("the request body is not valid JSON");
    }
  }

  Endpoint endpoint() {
    return endpoint;
  }

  ItemName model() {
    return model;
  }

  ResponseForm form() {
    return form;
  }

  PromptText prompt() {
    return prompt;
  }

  int expectedOutputTokens() {
    return expectedOutputTokens;
  }

  /** Returns the body of an attempt that resumes after the given number of output tokens. */
  byte[] bodyResumingAfter(int outputTokens) {
    if (outputTokens > 0) {
      body.putObject(RESUME_FIELD).put("output_tokens", outputTokens);
    }
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static ItemName modelOf(ObjectNode body) {
    JsonNode model = body.get("model");
    if (model == null || !model.isTextual()) {
      throw malformed("the field \"model\" must be a string");
    }
    if (!Identifiers.isValid(model.asText())) {
      throw new RefusalException(RefusalCode.UNKNOWN_MODEL, "no such model");
    }
    return new ItemName(model.asText());
  }

  private static PromptText promptOf(Endpoint endpoint, ObjectNode body) {
    if (endpoint == Endpoint.CHAT) {
      JsonNode messages = body.get("messages");
      if (messages == null || !messages.isArray() || messages.isEmpty()) {
        throw malformed("the field \"messages\" must be an array with at least one message");
      }
      for (JsonNode message : messages) {
        if (!message.isObject()) {
          throw malformed("each of the \"messages\" must be an object");
        }
      }
      return PromptText.ofMessages(messages);
    }
    JsonNode prompt = body.get("prompt");
    if (prompt == null || !prompt.isTextual()) {
      throw malformed("the field \"prompt\" must be a string");
    }
    return PromptText.of(prompt.asText());
  }

  private static int outputTokensOf(ObjectNode body) {
    JsonNode limit =
        body.has("max_tokens") ? body.get("max_tokens") : body.get("max_completion_tokens");
    if (limit == null || limit.isNull()) {
      return DEFAULT_OUTPUT_TOKENS;
    }
    if (!limit.canConvertToInt() || limit.asInt() < 1 || limit.asInt() > MAXIMUM_OUTPUT_TOKENS) {
      throw malformed("the output token limit must be between 1 and " + MAXIMUM_OUTPUT_TOKENS);
    }
    return limit.asInt();
  }

  private static boolean booleanField(ObjectNode body, String name) {
    JsonNode value = body.get(name);
    if (value == null || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw malformed("the field \"" + name + "\" must be true or false");
    }
    return value.asBoolean();
  }

  private static RefusalException malformed(String message) {
    return new RefusalException(RefusalCode.MALFORMED_REQUEST, message);
  }
}
