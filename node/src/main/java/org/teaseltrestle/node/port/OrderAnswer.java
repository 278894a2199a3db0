package org.teaseltrestle.node.port;

import java.util.Set;

/**
 * Answer of an engine or of the platform to an order.
 *
 * @param kind what became of the order
 * @param detail text for the order book and logs
 * @param boughtServers backend servers that the platform named for a purchase
 */
public record OrderAnswer(Kind kind, String detail, Set<String> boughtServers) {

  /** Copies the set. */
  public OrderAnswer {
    boughtServers = Set.copyOf(boughtServers);
  }

  /** Creates an answer that names no backend server. */
  public OrderAnswer(Kind kind, String detail) {
    this(kind, detail, Set.of());
  }

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
    /** Not sent: this process lost its right to send it, or the receiver is not listed. */
    NOT_SENT,
    /** No answer: the order may have been taken; the same order must be sent again. */
    UNKNOWN
  }
}
