package org.teaseltrestle.node.relay;

import java.nio.charset.StandardCharsets;

/** Forwards each chunk as a server-sent event. */
final class StreamingSink implements CompletionSink {

  private static final String DONE = "data: [DONE]\n\n";

  private final CallerResponse response;

  StreamingSink(CallerResponse response) {
    this.response = response;
  }

  @Override
  public void accept(CompletionChecker.Chunk chunk, NextChunk next) {
    write(chunk, "");
    if (next == NextChunk.AWAITED) {
      response.flush();
    }
  }

  @Override
  public void acceptLast(CompletionChecker.Chunk chunk, int outputTokens) {
    write(chunk, DONE);
    response.finish();
  }

  /** Ends a started stream with an error event, so that it does not look complete. */
  static void failStream(CallerResponse response, String errorJson) {
    byte[] event = ("event: error\ndata: " + errorJson + "\n\n").getBytes(StandardCharsets.UTF_8);
    response.write(event, event.length);
    response.finish();
  }

  private void write(CompletionChecker.Chunk chunk, String appended) {
    if (!response.isStarted()) {
      response.header("Cache-Control", "no-cache");
      response.acceptErrorEvents();
      response.start(200, "text/event-stream; charset=utf-8", -1);
    }
    byte[] event = ("data: " + chunk.data() + "\n\n" + appended).getBytes(StandardCharsets.UTF_8);
    response.write(event, event.length);
  }
}
