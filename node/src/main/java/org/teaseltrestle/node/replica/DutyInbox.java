package org.teaseltrestle.node.replica;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/** Hands steps to a duty thread and counts those that its full ring refused. */
final class DutyInbox {

  private final Predicate<Runnable> ring;
  private final LongAdder dropped = new LongAdder();

  DutyInbox(Predicate<Runnable> ring) {
    this.ring = ring;
  }

  /** Hands over a step; returns false, without waiting, if the ring is full. */
  boolean offer(Runnable step) {
    boolean taken = ring.test(step);
    if (!taken) {
      dropped.increment();
    }
    return taken;
  }

  long dropped() {
    return dropped.sum();
  }
}
