package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import okhttp3.Response;
import okio.BufferedSource;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.DeterministicOutput;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.trace.TraceEntry;

/** Reads a response and compares its output with the expected one, byte by byte. */
final class ResponseReader {

  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";

  private final TraceEntry request;
  private final ResultBuilder result;

  ResponseReader(TraceEntry request, ResultBuilder result) {
    this.request = request;
    this.result = result;
  }

  /** Reads the response to its end and returns the result. */
  RequestResult read(Response response) throws IOException {
    String requestId = response.header("X-Request-Id");
    result.responseStarted(response.code(), requestId == null ? "" : requestId);
    if (response.body() == null) {
      return result.build(ReplayOutcome.BROKEN, "response has no body");
    }
    if (!response.isSuccessful()) {
      return readErrorResponse(response.body().string());
    }
    if (request.isModelRequest() && request.stream()) {
      return readStream(response.body().source());
    }
    String text = response.body().string();
    return request.isModelRequest() ? readCompletion(text) : readServiceResponse(text);
  }

  private RequestResult readErrorResponse(String text) {
    try {
      JsonNode error = Json.parse(text).path("error");
      if (!error.path("code").asText("").isEmpty()) {
        return result.refused(error);
      }
    } catch (TrestleException e) {
      return result.build(ReplayOutcome.WRONG, "error response is not JSON");
    }
    return result.build(ReplayOutcome.WRONG, "error response has no code");
  }

  private RequestResult readStream(BufferedSource source) throws IOException {
    StringBuilder text = new StringBuilder();
    boolean finished = false;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
        return finished
            ? compareOutput(text.toString())
            : result.build(ReplayOutcome.WRONG, "stream ended without a finish reason");
      }
      JsonNode event = Json.parse(data);
      if (event.has("error")) {
        return result.refused(event.path("error"));
      }
      String problem = checkChunk(event, text);
      if (!problem.isEmpty()) {
        return result.build(ReplayOutcome.WRONG, problem);
      }
      finished = finished || event.path("choices").path(0).path("finish_reason").isTextual();
    }
    return result.build(
        ReplayOutcome.BROKEN, "stream was truncated after " + result.tokens() + " tokens");
  }

  private String checkChunk(JsonNode event, StringBuilder text) {
    String id = event.path("id").asText();
    if (!id.equals(result.requestId())) {
      return "chunk of request " + id + " in the response to request " + result.requestId();
    }
    JsonNode choice = event.path("choices").path(0);
    String content =
        request.chat()
            ? choice.path("delta").path("content").asText("")
            : choice.path("text").asText("");
    if (!content.isEmpty()) {
      int index = event.path("trestle_token_index").asInt(result.tokens());
      if (index != result.tokens()) {
        return "token " + index + " received, expected token " + result.tokens();
      }
      text.append(content);
      result.tokensReceived(1);
    }
    return "";
  }

  private RequestResult readCompletion(String text) {
    JsonNode response = Json.parse(text);
    JsonNode choice = response.path("choices").path(0);
    if (!response.path("id").asText().equals(result.requestId())) {
      return result.build(
          ReplayOutcome.WRONG, "response belongs to request " + response.path("id").asText());
    }
    result.tokensReceived(request.outputTokens());
    return compareOutput(
        request.chat()
            ? choice.path("message").path("content").asText()
            : choice.path("text").asText());
  }

  private RequestResult compareOutput(String text) {
    String expected = DeterministicOutput.textRange(result.requestId(), 0, request.outputTokens());
    if (expected.equals(text)) {
      return result.build(ReplayOutcome.COMPLETED, null);
    }
    return result.build(
        ReplayOutcome.WRONG,
        "output has " + text.length() + " characters, expected " + expected.length());
  }

  private RequestResult readServiceResponse(String text) {
    JsonNode response = Json.parse(text);
    String digest = response.path("bodyDigest").asText();
    if (!digest.equals(result.build(ReplayOutcome.COMPLETED, null).promptDigest())) {
      return result.build(ReplayOutcome.WRONG, "response belongs to a call with another body");
    }
    return result.build(ReplayOutcome.COMPLETED, null);
  }
}
