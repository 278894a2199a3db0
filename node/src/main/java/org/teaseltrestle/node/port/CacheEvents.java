package org.teaseltrestle.node.port;

import java.util.List;

/**
 * Changes of an engine's prefix cache, ordered by sequence number.
 *
 * @param events changes
 */
public record CacheEvents(List<CacheEvent> events) {

  /** Copies the events. */
  public CacheEvents {
    events = List.copyOf(events);
  }

  /** Kind of a change. */
  public enum Kind {
    STORED,
    REMOVED,
    CLEARED
  }

  /**
   * One change.
   *
   * @param sequence sequence number, increasing by one from change to change
   * @param kind kind of the change
   * @param prefixHash hash of the stored or removed prefix, empty if the cache was cleared
   */
  public record CacheEvent(long sequence, Kind kind, String prefixHash) {}
}
