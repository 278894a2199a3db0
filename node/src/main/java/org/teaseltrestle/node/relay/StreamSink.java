package org.teaseltrestle.node.relay;

import java.nio.charset.StandardCharsets;

/** Passes each chunk on as a server-sent event. */
final class StreamSink implements AnswerSink {

  private static final String DONE = "data: [DONE]\n\n";

  private final CallerResponse response;

  StreamSink(CallerResponse response) {
    this.response = response;
  }

  @Override
  public void chunk(AnswerChecker.Chunk chunk, Following following) {
    write(chunk, "");
    if (following == Following.AWAITED) {
      response.flush();
    }
  }

  @Override
  public void last(AnswerChecker.Chunk chunk, int outputTokens) {
    write(chunk, DONE);
    response.finish();
  }

  /** Ends a stream that has begun, so that nobody takes it for whole. */
  static void fail(CallerResponse response, String errorJson) {
    byte[] event = ("event: error\ndata: " + errorJson + "\n\n").getBytes(StandardCharsets.UTF_8);
    response.write(event, event.length);
    response.finish();
  }

  private void write(AnswerChecker.Chunk chunk, String appended) {
    if (!response.hasBegun()) {
      response.header("Cache-Control", "no-cache");
      response.begin(200, "text/event-stream; charset=utf-8", -1);
    }
    byte[] event = ("data: " + chunk.data() + "\n\n" + appended).getBytes(StandardCharsets.UTF_8);
    response.write(event, event.length);
  }
}
