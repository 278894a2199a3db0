package org.teaseltrestle.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Cache events with sequence numbers, published late and with gaps. */
final class CacheEvents {

  private static final int KEPT = 20_000;

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
    if (events.size() > KEPT) {
      events.removeFirst();
    }
  }

  List<CacheEvent> after(long position, long nowNanos) {
    return events.stream()
        .filter(event -> event.sequence() > position && event.atNanos() <= nowNanos - lagNanos)
        .toList();
  }

  long sequence() {
    return sequence;
  }
}
