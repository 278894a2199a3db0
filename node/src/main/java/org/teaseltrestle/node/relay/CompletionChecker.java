package org.teaseltrestle.node.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.policy.FailureKind;

/**
 * Checks a completion token by token over all attempts: each chunk must have the request's
 * identifier and the next token's index, and the usage count of the last one must equal the tokens
 * received.
 */
final class CompletionChecker {

  /** Marker at the end of every complete stream. */
  static final String DONE = "[DONE]";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String TOKEN_INDEX = "trestle_token_index";

  /**
   * A chunk that passed the checks.
   *
   * @param data chunk as received
   * @param text text of its token
   * @param finishReason finish reason in the last chunk, otherwise null
   * @param promptTokens prompt length counted by the engine in the last chunk, otherwise 0
   */
  record Chunk(String data, String text, @Nullable String finishReason, int promptTokens) {}

  private final RequestId request;
  private int tokens;

  CompletionChecker(RequestId request) {
    this.request = request;
  }

  /** Returns the number of tokens that passed the checks. */
  int tokens() {
    return tokens;
  }

  /**
   * Checks the next chunk.
   *
   * @throws AttemptFailure if it is not the next chunk of this completion
   */
  Chunk check(String data) {
    JsonNode chunk = parse(data);
    if (chunk.has("error")) {
      throw new AttemptFailure(FailureKind.SERVER_ERROR, "engine ended the stream with an error");
    }
    if (!request.value().equals(chunk.path("id").asText())) {
      throw mismatch("chunk has another request's identifier");
    }
    JsonNode choice = chunk.path("choices").path(0);
    JsonNode finishReason = choice.path("finish_reason");
    boolean last = finishReason.isTextual();
    countToken(chunk.get(TOKEN_INDEX), last);
    String text =
        choice.has("delta")
            ? choice.path("delta").path("content").asText()
            : choice.path("text").asText();
    return new Chunk(
        data,
        text,
        last ? finishReason.asText() : null,
        last ? checkUsage(chunk.path("usage")) : 0);
  }

  private void countToken(@Nullable JsonNode index, boolean last) {
    if (index == null && last) {
      return;
    }
    if (index == null || !index.canConvertToInt() || index.asInt() != tokens) {
      throw mismatch("chunk is not the next token of the completion");
    }
    tokens++;
  }

  private int checkUsage(JsonNode usage) {
    JsonNode counted = usage.path("completion_tokens");
    if (!counted.isInt() || counted.asInt() != tokens) {
      throw new AttemptFailure(
          counted.asInt() > tokens ? FailureKind.LOST_DURING_ANSWER : FailureKind.ANSWER_MISMATCH,
          "usage count differs from the number of tokens received");
    }
    return usage.path("prompt_tokens").asInt();
  }

  private static JsonNode parse(String data) {
    try {
      return JSON.readTree(data);
    } catch (JsonProcessingException e) {
      throw new AttemptFailure(FailureKind.LOST_DURING_ANSWER, "chunk is not valid JSON");
    }
  }

  private static AttemptFailure mismatch(String message) {
    return new AttemptFailure(FailureKind.ANSWER_MISMATCH, message);
  }
}
