package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.DeterministicOutput;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/**
 * Writes one response, streamed or in one piece, and applies the fault injected into it. Not safe
 * for use by several threads.
 */
final class ResponseWriter {

  private final ServerExchange exchange;
  private final EngineRequest request;
  private final String model;
  private final boolean chat;
  private final EngineFaults.AnswerFault fault;
  private final int cutAfterTokens;
  private final String responseId;
  private int writtenTokens;

  ResponseWriter(
      ServerExchange exchange,
      EngineRequest request,
      String model,
      boolean chat,
      EngineFaults.AnswerFault fault,
      int cutAfterTokens) {
    this.exchange = exchange;
    this.request = request;
    this.model = model;
    this.chat = chat;
    this.fault = fault;
    this.cutAfterTokens = cutAfterTokens;
    this.responseId =
        fault == EngineFaults.AnswerFault.CROSSED
            ? "other-" + request.requestId()
            : request.requestId();
  }

  /**
   * Returns the index after the last token written; tokens before a resume point count as written.
   */
  int writtenTokens() {
    return writtenTokens;
  }

  /** Streams the response as server-sent events and returns how it ended, for the record. */
  String writeStream(TokenQueue tokens) throws IOException {
    exchange.setResponseHeader("X-Request-Id", responseId);
    OutputStream output = exchange.startEventStream();
    int position = 0;
    if (request.firstOutputToken() >= request.maximumOutputTokens()) {
      writeEvent(output, finalChunk());
    }
    for (TokenQueue.Item item = tokens.next(); item.index() >= 0; item = tokens.next()) {
      if (fault == EngineFaults.AnswerFault.CUT && position == cutAfterTokens) {
        exchange.abortConnection();
        return "cut";
      }
      if (fault != EngineFaults.AnswerFault.MUTE) {
        writeEvent(output, newChunk(item.index()));
        if (fault == EngineFaults.AnswerFault.REPEAT && position == cutAfterTokens) {
          writeEvent(output, newChunk(item.index()));
        }
        writtenTokens = item.index() + 1;
      }
      position++;
    }
    return finishStream(output);
  }

  /** Buffers the response until it is complete, writes it and returns how it ended. */
  String writeComplete(TokenQueue tokens) throws IOException {
    int end = request.firstOutputToken();
    TokenQueue.Item item = tokens.next();
    while (item.index() >= 0) {
      end = item.index() + 1;
      item = tokens.next();
    }
    if (item.end() != Sequence.End.COMPLETED || end < request.maximumOutputTokens()) {
      return abort(item.end());
    }
    exchange.setResponseHeader("X-Request-Id", responseId);
    ObjectNode response = newResponse(chat ? "chat.completion" : "text_completion");
    ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
    String text = DeterministicOutput.textRange(responseId, request.firstOutputToken(), end);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "length");
    response.set("usage", usage());
    if (fault == EngineFaults.AnswerFault.CUT) {
      exchange.replyTruncated(response.toString(), response.toString().length() / 2);
      return "cut";
    }
    exchange.reply(200, response);
    writtenTokens = end;
    return "completed";
  }

  private String finishStream(OutputStream output) throws IOException {
    if (writtenTokens < request.maximumOutputTokens()) {
      return abort(Sequence.End.CRASHED);
    }
    output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    output.close();
    return "completed";
  }

  private String abort(Sequence.End end) {
    exchange.abortConnection();
    return end.name().toLowerCase(Locale.ROOT);
  }

  private ObjectNode newChunk(int index) {
    boolean last = index == request.maximumOutputTokens() - 1;
    ObjectNode chunk = newResponse(chat ? "chat.completion.chunk" : "text_completion");
    addChoice(chunk, DeterministicOutput.chunkText(responseId, index), last ? "length" : null);
    chunk.put("trestle_token_index", index);
    if (last) {
      chunk.set("usage", usage());
    }
    return chunk;
  }

  private ObjectNode finalChunk() {
    ObjectNode chunk = newResponse(chat ? "chat.completion.chunk" : "text_completion");
    addChoice(chunk, "", "length");
    chunk.set("usage", usage());
    writtenTokens = request.maximumOutputTokens();
    return chunk;
  }

  private void addChoice(ObjectNode chunk, String text, @Nullable String finishReason) {
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason);
  }

  private ObjectNode newResponse(String object) {
    return Json.object().put("id", responseId).put("object", object).put("model", model);
  }

  private ObjectNode usage() {
    int prompt = request.promptTokens();
    int output = request.maximumOutputTokens();
    return Json.object()
        .put("prompt_tokens", prompt)
        .put("completion_tokens", output)
        .put("total_tokens", prompt + output);
  }

  private static void writeEvent(OutputStream output, ObjectNode event) throws IOException {
    output.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
