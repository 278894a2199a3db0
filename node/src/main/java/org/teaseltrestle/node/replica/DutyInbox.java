package org.teaseltrestle.node.replica;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/**
 * Submits tasks to a duty thread and counts those dropped because its ring buffer was full or the
 * messages of the queued tasks took too many bytes.
 */
final class DutyInbox {

  /** A duty that waits for its disk must not fill the heap with the messages of its peers. */
  static final long MAXIMUM_QUEUED_BYTES = 16L * 1024 * 1024;

  private final Predicate<Runnable> ring;
  private final LongAdder dropped = new LongAdder();
  private final AtomicLong queuedBytes = new AtomicLong();

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

  /**
   * Submits a task that holds a message; returns false if the ring buffer is full, or if the queued
   * messages would exceed {@link #MAXIMUM_QUEUED_BYTES}. A single message is always queued.
   *
   * @param messageBytes size of the message in bytes
   */
  boolean offer(int messageBytes, Runnable task) {
    long before = queuedBytes.getAndAdd(messageBytes);
    if (before > 0 && before + messageBytes > MAXIMUM_QUEUED_BYTES) {
      queuedBytes.addAndGet(-messageBytes);
      dropped.increment();
      return false;
    }
    boolean accepted =
        offer(
            () -> {
              try {
                task.run();
              } finally {
                queuedBytes.addAndGet(-messageBytes);
              }
            });
    if (!accepted) {
      queuedBytes.addAndGet(-messageBytes);
    }
    return accepted;
  }

  long dropped() {
    return dropped.sum();
  }
}
