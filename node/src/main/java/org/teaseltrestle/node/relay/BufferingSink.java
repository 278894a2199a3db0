package org.teaseltrestle.node.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** Buffers the chunks and sends the response once it is complete. */
final class BufferingSink implements CompletionSink {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAXIMUM_CHARACTERS = 16 * 1024 * 1024;
  private static final int MILLISECONDS_PER_SECOND = 1_000;

  /** The text is copied once as a string, once as JSON and once as bytes. */
  private static final long BYTES_PER_CHARACTER = 6;

  private final CallerResponse response;
  private final CompletionRequest completion;
  private final RequestId request;
  private final WallClock clock;
  private final StringBuilder text = new StringBuilder();

  BufferingSink(
      CallerResponse response, CompletionRequest completion, RequestId request, WallClock clock) {
    this.response = response;
    this.completion = completion;
    this.request = request;
    this.clock = clock;
  }

  @Override
  public void accept(CompletionChecker.Chunk chunk, NextChunk next) {
    text.append(chunk.text());
    boolean fits = response.memory().tryAdd(BYTES_PER_CHARACTER * chunk.text().length());
    if (!fits || text.length() > MAXIMUM_CHARACTERS) {
      throw new RefusalException(
          RefusalCode.BACKEND_FAILED, "the response is too long to be buffered");
    }
  }

  @Override
  public void acceptLast(CompletionChecker.Chunk chunk, int outputTokens) {
    text.append(chunk.text());
    byte[] body = body(chunk, outputTokens).toString().getBytes(StandardCharsets.UTF_8);
    response.sendComplete(200, "application/json", body);
  }

  private ObjectNode body(CompletionChecker.Chunk last, int outputTokens) {
    boolean chat = completion.endpoint() == CompletionRequest.Endpoint.CHAT;
    ObjectNode root = JSON.createObjectNode();
    root.put("id", request.value());
    root.put("object", chat ? "chat.completion" : "text_completion");
    root.put("created", clock.nowMillis() / MILLISECONDS_PER_SECOND);
    root.put("model", completion.model().value());
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", last.finishReason());
    root.putObject("usage")
        .put("prompt_tokens", last.promptTokens())
        .put("completion_tokens", outputTokens)
        .put("total_tokens", last.promptTokens() + outputTokens);
    return root;
  }
}
