package org.teaseltrestle.node.port;

/** What marks the end of a response's body. */
public enum ResponseFraming {
  /** The response has no body. */
  NO_BODY,
  /** A content length. */
  LENGTH,
  /** The last chunk. */
  CHUNKS,
  /** Only the end of the connection, which also ends a truncated body. */
  CONNECTION
}
