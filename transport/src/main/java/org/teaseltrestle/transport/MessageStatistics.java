package org.teaseltrestle.transport;

/** Counts of the messages of one kind since the start of the process. */
public interface MessageStatistics {

  /**
   * Returns the name of the kind: service and number, such as {@code follow.2}, {@code answer},
   * {@code probe}, or {@code other} for those beyond the number of kinds that are told apart.
   */
  String name();

  /** Returns the messages that were written to a socket. */
  long sentMessages();

  /** Returns the bytes that were written to a socket, without TLS and TCP. */
  long sentBytes();

  /** Returns the messages that were received. */
  long receivedMessages();

  /** Returns the bytes that were received, without TLS and TCP. */
  long receivedBytes();

  /** Returns the messages that were not sent, for any reason. */
  long droppedMessages();
}
