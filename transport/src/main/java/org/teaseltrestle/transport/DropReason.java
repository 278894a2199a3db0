package org.teaseltrestle.transport;

/** Why a message was not delivered to the socket of its peer. */
public enum DropReason {
  /** The last attempt to connect failed a moment ago. */
  NO_CONNECTION,
  /** The queue of a connection that is being opened holds as many messages as it may. */
  QUEUE_FULL,
  /** The connection holds as many bytes as one connection may. */
  CONNECTION_FULL,
  /** All connections together hold as many bytes as the process allows. */
  PROCESS_FULL,
  /** The message had been accepted when its connection failed or was closed. */
  CONNECTION_LOST
}
