package org.teaseltrestle.transport;

import java.util.function.Consumer;

/** What a transport has sent, received, dropped and still holds. All reads are cheap. */
public interface TransportStatistics {

  /** Returns the bytes of accepted messages that are not written to a socket yet. */
  long waitingBytes();

  /** Returns the bytes that wait for the connection that holds the most. */
  long largestWaitingBytes();

  /** Returns the bytes outside the heap that buffers of all connections take. */
  long directBufferBytes();

  /** Returns the messages that were dropped for a reason. */
  long dropped(DropReason reason);

  /**
   * Calls a consumer for each kind of message that was seen, and for each new kind when it is first
   * seen, on the thread that sends or receives it. The number of kinds is bounded.
   */
  void forEachKind(Consumer<MessageStatistics> consumer);
}
