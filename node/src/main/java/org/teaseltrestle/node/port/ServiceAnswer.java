package org.teaseltrestle.node.port;

import java.util.List;

/** Answer of a plain service whose body is still being received. Used by one thread. */
public interface ServiceAnswer extends AutoCloseable {

  /** Returns the HTTP status. */
  int status();

  /** Returns the header fields as received. */
  List<HeaderField> headers();

  /**
   * Reads body bytes.
   *
   * @return number of bytes, or -1 at the body's checked end
   * @throws AttemptFailure if the body is cut, or nothing comes in time
   */
  int read(byte[] buffer);

  /** Releases the connection. */
  @Override
  void close();
}
