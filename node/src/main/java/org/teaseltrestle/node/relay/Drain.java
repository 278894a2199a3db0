package org.teaseltrestle.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests under way, so that a stop can wait for their end. */
final class Drain {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition ended = lock.newCondition();
  private int running;
  private volatile boolean draining;
  private volatile boolean refusing;

  void begin() {
    lock.lock();
    try {
      running++;
    } finally {
      lock.unlock();
    }
  }

  void end() {
    lock.lock();
    try {
      running--;
      ended.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Makes the instance not ready and every answer the last of its connection. */
  void start() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  /** Takes no more requests: one that comes later on a kept connection might not end in time. */
  void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  /** Waits for the end of all requests, or until the time is over; returns how many still run. */
  int await(long timeoutNanos) throws InterruptedException {
    long left = timeoutNanos;
    lock.lock();
    try {
      while (running > 0 && left > 0) {
        left = ended.awaitNanos(left);
      }
      return running;
    } finally {
      lock.unlock();
    }
  }

  /** Waits a fixed time. */
  static void pause(long nanos) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(nanos);
  }
}
