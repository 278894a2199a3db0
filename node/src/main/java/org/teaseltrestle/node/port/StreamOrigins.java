package org.teaseltrestle.node.port;

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
        public StreamLookup find(String stream, long deadlineNanos) {
          return StreamLookup.unknown(true);
        }
      };

  /**
   * Records the origin of a stream before its first event is forwarded; does not block.
   *
   * @param stream identifier that the caller gave to the request which brings the first event
   */
  void began(String stream, StreamOrigin origin);

  /**
   * Looks up the origin of a stream. May ask other instances and wait for them.
   *
   * @param deadlineNanos monotonic time after which the answer is of no use
   */
  StreamLookup find(String stream, long deadlineNanos);
}
