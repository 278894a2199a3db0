package org.teaseltrestle.kernel;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;

/**
 * Bounded queue with many producers and one consumer, a duty thread. A full ring rejects an item
 * immediately, so that a slow duty never blocks a producer.
 *
 * @param <T> item type
 */
public final class BoundedRing<T> {

  private final MpscArrayQueue<T> queue;
  private volatile @Nullable Thread consumer;

  /** Creates a ring; the capacity is at least 2 and rounded up to a power of two. */
  public BoundedRing(int capacity) {
    this.queue = new MpscArrayQueue<>(Math.max(2, capacity));
  }

  /** Adds an item; returns false, without waiting, if the ring is full. */
  public boolean offer(T item) {
    if (!queue.offer(item)) {
      return false;
    }
    Thread waitingConsumer = consumer;
    if (waitingConsumer != null) {
      LockSupport.unpark(waitingConsumer);
    }
    return true;
  }

  /** Takes the next item, or returns null if the ring is empty. Consumer only. */
  public @Nullable T poll() {
    return queue.poll();
  }

  /** Waits until an item is present or the timeout has passed; may return early. Consumer only. */
  public void await(long timeoutNanos) {
    consumer = Thread.currentThread();
    if (queue.isEmpty()) {
      LockSupport.parkNanos(this, timeoutNanos);
    }
    // Producers need not wake a consumer that is running.
    consumer = null;
  }

  /** Returns the number of queued items, which may be stale. */
  public int size() {
    return queue.size();
  }
}
