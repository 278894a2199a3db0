package org.teaseltrestle.transport;

/** Why a message was not delivered to the socket of its peer. */
public enum DropReason {
  /** The last attempt to connect failed a moment ago. */
  NO_CONNECTION,
  /** The queue of a connection that is being opened is full. */
  QUEUE_FULL,
  /** The connection holds as many bytes as one connection may. */
  CONNECTION_FULL,
  /** The message had been accepted when its connection failed or was closed. */
  CONNECTION_LOST
}
