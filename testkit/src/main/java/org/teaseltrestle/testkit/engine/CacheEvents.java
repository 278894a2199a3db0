package org.teaseltrestle.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Numbered events of a KV cache, which are published after a delay. Every n-th event can be left
 * out, so that readers see a gap in the sequence numbers. Not safe for use by several threads.
 */
final class CacheEvents {

  private static final int MAXIMUM_EVENTS = 20_000;

  record CacheEvent(long sequence, String kind, String prefixHash, long atNanos) {}

  private final long lagNanos;
  private final int gapEvery;
  private final Deque<CacheEvent> events = new ArrayDeque<>();
  private long sequence;

  CacheEvents(long lagNanos, int gapEvery) {
    this.lagNanos = lagNanos;
    this.gapEvery = gapEvery;
  }

  void add(String kind, String prefixHash, long nowNanos) {
    sequence++;
    if (gapEvery > 0 && sequence % gapEvery == 0) {
      return;
    }
    events.addLast(new CacheEvent(sequence, kind, prefixHash, nowNanos));
    if (events.size() > MAXIMUM_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the published events whose sequence number is above a position, in order. */
  List<CacheEvent> publishedAfter(long position, long nowNanos) {
    return events.stream()
        .filter(event -> event.sequence() > position && event.atNanos() <= nowNanos - lagNanos)
        .toList();
  }

  /** Returns the sequence number of the latest event, whether it is published or not. */
  long sequence() {
    return sequence;
  }
}
