package org.teaseltrestle.node.port;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Open event stream of an engine. Used by one thread. */
public interface EngineStream extends AutoCloseable {

  /**
   * Returns the data of the next event, or null if the stream has ended after a complete event.
   *
   * @param timeout longest wait for the next byte
   * @throws AttemptFailure if the connection is interrupted or nothing arrives in time
   */
  @Nullable String next(Duration timeout);

  /** Returns whether more data has already arrived, so that the next call hardly waits. */
  boolean hasBufferedData();

  /** Releases the connection; closes it if the stream has not been read to its end. */
  @Override
  void close();
}
