package org.teaseltrestle.node.port;

/**
 * Answer of an engine or of the platform to an order.
 *
 * @param kind what became of the order
 * @param detail text for the order book and logs
 */
public record OrderAnswer(Kind kind, String detail) {

  /** What became of an order. */
  public enum Kind {
    /** Taken, now or by an earlier send of the same order. */
    ACCEPTED,
    /** Refused because a newer fencing number was seen: this process has lost its authority. */
    STALE,
    /** Refused for now; the same order may be sent again. */
    BUSY,
    /** Refused for good. */
    REFUSED,
    /** No answer: the order may have been taken; the same order must be sent again. */
    UNKNOWN
  }
}
