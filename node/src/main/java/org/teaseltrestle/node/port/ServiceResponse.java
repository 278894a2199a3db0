package org.teaseltrestle.node.port;

import java.util.List;
import java.util.Locale;

/** Response whose header has been received; the body is read as it arrives. Used by one thread. */
public interface ServiceResponse extends AutoCloseable {

  /** Returns the HTTP status. */
  int status();

  /** Returns the header fields as received. */
  List<HeaderField> headers();

  /** Returns whether the body is declared to be a stream of server-sent events. */
  default boolean isEventStream() {
    return headers().stream()
        .anyMatch(
            field ->
                field.name().equalsIgnoreCase("Content-Type")
                    && field.value().toLowerCase(Locale.ROOT).startsWith("text/event-stream"));
  }

  /** Returns what marks the end of the body. */
  ResponseFraming framing();

  /**
   * Reads bytes of the body into a buffer.
   *
   * @return number of bytes, or -1 if the body is complete
   * @throws AttemptFailure if the body is truncated or nothing arrives in time
   */
  int read(byte[] buffer);

  /** Releases the connection. */
  @Override
  void close();
}
