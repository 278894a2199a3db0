package org.teaseltrestle.node.relay;

import org.jspecify.annotations.Nullable;

/** Ends the watch for a closing caller before the answer ends, as the watch requires. */
final class WatchedSink implements AnswerSink, AutoCloseable {

  private final AnswerSink sink;
  private final @Nullable CallerWatch watch;

  WatchedSink(AnswerSink sink, @Nullable CallerWatch watch) {
    this.sink = sink;
    this.watch = watch;
  }

  @Override
  public void chunk(AnswerChecker.Chunk chunk, Following following) {
    sink.chunk(chunk, following);
  }

  @Override
  public void last(AnswerChecker.Chunk chunk, int outputTokens) {
    close();
    sink.last(chunk, outputTokens);
  }

  @Override
  public void close() {
    if (watch != null) {
      watch.close();
    }
  }
}
