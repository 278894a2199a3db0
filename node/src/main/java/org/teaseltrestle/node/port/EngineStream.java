package org.teaseltrestle.node.port;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Open event stream of an engine. Used by one thread. */
public interface EngineStream extends AutoCloseable {

  /**
   * Returns the data of the next event, or null at the regular end of the stream.
   *
   * @param timeout longest wait for the next byte
   * @throws AttemptFailure if the stream breaks, or nothing comes in time
   */
  @Nullable String next(Duration timeout);

  /** Tells whether more data has already arrived, so that the next call hardly waits. */
  boolean hasBuffered();

  /** Releases the connection; a stream that was not read to its end is cut. */
  @Override
  void close();
}
