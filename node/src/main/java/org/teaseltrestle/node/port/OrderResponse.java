package org.teaseltrestle.node.port;

import java.util.Set;

/**
 * Response of an engine or of the platform to an order.
 *
 * @param kind outcome of the order
 * @param detail description of the outcome for the order book and the log
 * @param boughtServers backend servers that the platform named in response to a purchase
 */
public record OrderResponse(Kind kind, String detail, Set<String> boughtServers) {

  /** Copies the backend servers. */
  public OrderResponse {
    boughtServers = Set.copyOf(boughtServers);
  }

  /** Creates a response that names no backend server. */
  public OrderResponse(Kind kind, String detail) {
    this(kind, detail, Set.of());
  }

  /** Outcome of an order. */
  public enum Kind {
    /** Accepted, now or when the same order was sent before. */
    ACCEPTED,
    /**
     * Refused because the receiver has seen a higher fencing number: this process has lost its
     * authority.
     */
    STALE,
    /** Refused for now; the same order may be sent again. */
    BUSY,
    /** Refused permanently. */
    REFUSED,
    /** Not sent: this process has lost its authority, or the receiver is not listed. */
    NOT_SENT,
    /** No response: the order may have been accepted; the same order must be sent again. */
    UNKNOWN
  }
}
