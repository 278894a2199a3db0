package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.KnownOutput;
import org.teaseltrestle.testkit.http.Call;
import org.teaseltrestle.testkit.http.Json;

/** Writes one answer, whole or as a stream, with the fault that applies to it. */
final class AnswerWriter {

  private final Call call;
  private final EngineRequest request;
  private final String model;
  private final boolean chat;
  private final EngineFaults.AnswerFault fault;
  private final int cutAfterTokens;
  private final String answerId;
  private int written;

  AnswerWriter(
      Call call,
      EngineRequest request,
      String model,
      boolean chat,
      EngineFaults.AnswerFault fault,
      int cutAfterTokens) {
    this.call = call;
    this.request = request;
    this.model = model;
    this.chat = chat;
    this.fault = fault;
    this.cutAfterTokens = cutAfterTokens;
    this.answerId =
        fault == EngineFaults.AnswerFault.CROSSED
            ? "other-" + request.requestId()
            : request.requestId();
  }

  /** Returns the tokens written so far, counted from the answer's start. */
  int written() {
    return written;
  }

  /** Streams the answer and returns how it ended. */
  String stream(TokenQueue tokens) throws IOException {
    call.answerHeader("X-Request-Id", answerId);
    OutputStream output = call.startEvents();
    int count = 0;
    if (request.firstOutput() >= request.maximumTokens()) {
      writeEvent(output, finalChunk());
    }
    for (TokenQueue.Item item = tokens.next(); item.index() >= 0; item = tokens.next()) {
      if (fault == EngineFaults.AnswerFault.CUT && count == cutAfterTokens) {
        call.breakConnection();
        return "cut";
      }
      if (fault != EngineFaults.AnswerFault.MUTE) {
        writeEvent(output, chunk(item.index()));
        if (fault == EngineFaults.AnswerFault.REPEAT && count == cutAfterTokens) {
          writeEvent(output, chunk(item.index()));
        }
        written = item.index() + 1;
      }
      count++;
    }
    return finish(output);
  }

  /** Collects the answer, writes it whole and returns how it ended. */
  String whole(TokenQueue tokens) throws IOException {
    int end = request.firstOutput();
    TokenQueue.Item item = tokens.next();
    while (item.index() >= 0) {
      end = item.index() + 1;
      item = tokens.next();
    }
    if (item.end() != Sequence.End.COMPLETED || end < request.maximumTokens()) {
      return broken(item.end());
    }
    call.answerHeader("X-Request-Id", answerId);
    ObjectNode answer = frame(chat ? "chat.completion" : "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    String text = KnownOutput.text(answerId, request.firstOutput(), end);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "length");
    answer.set("usage", usage());
    if (fault == EngineFaults.AnswerFault.CUT) {
      call.cut(answer.toString(), answer.toString().length() / 2);
      return "cut";
    }
    call.reply(200, answer);
    written = end;
    return "completed";
  }

  private String finish(OutputStream output) throws IOException {
    if (written < request.maximumTokens()) {
      return broken(Sequence.End.CRASHED);
    }
    output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    output.close();
    return "completed";
  }

  private String broken(Sequence.End end) {
    call.breakConnection();
    return end.name().toLowerCase(Locale.ROOT);
  }

  private ObjectNode chunk(int index) {
    boolean last = index == request.maximumTokens() - 1;
    ObjectNode chunk = frame(chat ? "chat.completion.chunk" : "text_completion");
    addText(chunk, KnownOutput.chunkText(answerId, index), last ? "length" : null);
    chunk.put("trestle_token_index", index);
    if (last) {
      chunk.set("usage", usage());
    }
    return chunk;
  }

  private ObjectNode finalChunk() {
    ObjectNode chunk = frame(chat ? "chat.completion.chunk" : "text_completion");
    addText(chunk, "", "length");
    chunk.set("usage", usage());
    written = request.maximumTokens();
    return chunk;
  }

  private void addText(ObjectNode chunk, String text, @Nullable String finishReason) {
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason);
  }

  private ObjectNode frame(String object) {
    return Json.object().put("id", answerId).put("object", object).put("model", model);
  }

  private ObjectNode usage() {
    int prompt = request.promptTokens();
    int output = request.maximumTokens();
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
