package org.teaseltrestle.node.port;

import java.util.List;

/**
 * Changes of an engine's prefix cache in the order of their sequence numbers.
 *
 * @param events changes
 */
public record CacheEvents(List<CacheEvent> events) {

  /** Copies the events. */
  public CacheEvents {
    events = List.copyOf(events);
  }

  /** What happened to a prefix. */
  public enum Kind {
    STORED,
    REMOVED,
    CLEARED
  }

  /**
   * One change.
   *
   * @param sequence number of the change, rising by one
   * @param kind kind of the change
   * @param prefixHash prefix concerned, empty if the cache was cleared
   */
  public record CacheEvent(long sequence, Kind kind, String prefixHash) {}
}
