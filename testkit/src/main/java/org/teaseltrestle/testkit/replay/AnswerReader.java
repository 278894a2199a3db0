package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import okhttp3.Response;
import okio.BufferedSource;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.KnownOutput;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.trace.TraceEntry;

/** Reads an answer and compares it with the known one, byte by byte. */
final class AnswerReader {

  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";

  private final TraceEntry request;
  private final ResultBuilder result;

  AnswerReader(TraceEntry request, ResultBuilder result) {
    this.request = request;
    this.result = result;
  }

  /** Reads the answer to its end. */
  RequestResult read(Response response) throws IOException {
    String requestId = response.header("X-Request-Id");
    result.answered(response.code(), requestId == null ? "" : requestId);
    if (response.body() == null) {
      return result.build(Outcome.BROKEN, "answer without body");
    }
    if (!response.isSuccessful()) {
      return refusal(response.body().string());
    }
    if (request.isModelRequest() && request.stream()) {
      return stream(response.body().source());
    }
    String text = response.body().string();
    return request.isModelRequest() ? wholeAnswer(text) : serviceAnswer(text);
  }

  private RequestResult refusal(String text) {
    try {
      JsonNode error = Json.parse(text).path("error");
      if (!error.path("code").asText("").isEmpty()) {
        return result.refused(error);
      }
    } catch (TrestleException e) {
      return result.build(Outcome.WRONG, "refusal is not JSON");
    }
    return result.build(Outcome.WRONG, "refusal without code");
  }

  private RequestResult stream(BufferedSource source) throws IOException {
    StringBuilder text = new StringBuilder();
    boolean finished = false;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
        return finished
            ? compare(text.toString())
            : result.build(Outcome.WRONG, "stream is done without a finish reason");
      }
      JsonNode event = Json.parse(data);
      if (event.has("error")) {
        return result.refused(event.path("error"));
      }
      String problem = chunk(event, text);
      if (!problem.isEmpty()) {
        return result.build(Outcome.WRONG, problem);
      }
      finished = finished || event.path("choices").path(0).path("finish_reason").isTextual();
    }
    return result.build(Outcome.BROKEN, "stream ended after " + result.tokens() + " tokens");
  }

  private String chunk(JsonNode event, StringBuilder text) {
    String id = event.path("id").asText();
    if (!id.equals(result.requestId())) {
      return "chunk of request " + id + " in the answer of " + result.requestId();
    }
    JsonNode choice = event.path("choices").path(0);
    String content =
        request.chat()
            ? choice.path("delta").path("content").asText("")
            : choice.path("text").asText("");
    if (!content.isEmpty()) {
      int index = event.path("trestle_token_index").asInt(result.tokens());
      if (index != result.tokens()) {
        return "token " + index + " in place of token " + result.tokens();
      }
      text.append(content);
      result.tokens(1);
    }
    return "";
  }

  private RequestResult wholeAnswer(String text) {
    JsonNode answer = Json.parse(text);
    JsonNode choice = answer.path("choices").path(0);
    if (!answer.path("id").asText().equals(result.requestId())) {
      return result.build(Outcome.WRONG, "answer of request " + answer.path("id").asText());
    }
    result.tokens(request.outputTokens());
    return compare(
        request.chat()
            ? choice.path("message").path("content").asText()
            : choice.path("text").asText());
  }

  private RequestResult compare(String text) {
    String known = KnownOutput.text(result.requestId(), 0, request.outputTokens());
    if (known.equals(text)) {
      return result.build(Outcome.COMPLETED, null);
    }
    return result.build(
        Outcome.WRONG,
        "answer has " + text.length() + " characters, the known one " + known.length());
  }

  private RequestResult serviceAnswer(String text) {
    JsonNode answer = Json.parse(text);
    String digest = answer.path("bodyDigest").asText();
    if (!digest.equals(result.build(Outcome.COMPLETED, null).promptDigest())) {
      return result.build(Outcome.WRONG, "answer to a call with another body");
    }
    return result.build(Outcome.COMPLETED, null);
  }
}
