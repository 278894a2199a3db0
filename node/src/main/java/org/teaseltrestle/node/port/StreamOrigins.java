package org.teaseltrestle.node.port;

import java.util.Optional;

/** Origins of the streams that callers may take up at any instance. Safe for use by any thread. */
public interface StreamOrigins {

  /** Knows no streams. */
  StreamOrigins NONE =
      new StreamOrigins() {
        @Override
        public void began(String stream, StreamOrigin origin) {
          // Forgets the stream.
        }

        @Override
        public Optional<StreamOrigin> find(String stream, long deadlineNanos) {
          return Optional.empty();
        }
      };

  /**
   * Records the origin of a stream before its first event is forwarded; does not block.
   *
   * @param stream identifier that the caller gave to the request which brings the first event
   */
  void began(String stream, StreamOrigin origin);

  /**
   * Returns the origin of a stream, empty if it is unknown. May ask other instances and wait for
   * them.
   *
   * @param deadlineNanos monotonic time after which the answer is of no use
   */
  Optional<StreamOrigin> find(String stream, long deadlineNanos);
}
