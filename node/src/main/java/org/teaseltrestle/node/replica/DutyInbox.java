package org.teaseltrestle.node.replica;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/** Submits tasks to a duty thread and counts those dropped because its ring buffer was full. */
final class DutyInbox {

  private final Predicate<Runnable> ring;
  private final LongAdder dropped = new LongAdder();

  DutyInbox(Predicate<Runnable> ring) {
    this.ring = ring;
  }

  /** Submits a task without blocking; returns false if the ring buffer is full. */
  boolean offer(Runnable task) {
    boolean accepted = ring.test(task);
    if (!accepted) {
      dropped.increment();
    }
    return accepted;
  }

  long dropped() {
    return dropped.sum();
  }
}
