package org.teaseltrestle.node.relay;

import org.jspecify.annotations.Nullable;

/** Ends the watch for a disconnect before the response ends, as the watch requires. */
final class DisconnectWatchingSink implements CompletionSink, AutoCloseable {

  private final CompletionSink sink;
  private final @Nullable CallerDisconnectWatch watch;

  DisconnectWatchingSink(CompletionSink sink, @Nullable CallerDisconnectWatch watch) {
    this.sink = sink;
    this.watch = watch;
  }

  @Override
  public void accept(CompletionChecker.Chunk chunk, NextChunk next) {
    sink.accept(chunk, next);
  }

  @Override
  public void acceptLast(CompletionChecker.Chunk chunk, int outputTokens) {
    close();
    sink.acceptLast(chunk, outputTokens);
  }

  @Override
  public void close() {
    if (watch != null) {
      watch.close();
    }
  }
}
