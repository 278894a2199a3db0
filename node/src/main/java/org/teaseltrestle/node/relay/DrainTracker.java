package org.teaseltrestle.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Counts requests in flight, so that a shutdown can wait for their end. */
final class DrainTracker {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition runningChanged = lock.newCondition();
  private int running;
  private volatile boolean draining;
  private volatile boolean refusing;

  void requestStarted() {
    lock.lock();
    try {
      running++;
    } finally {
      lock.unlock();
    }
  }

  void requestEnded() {
    lock.lock();
    try {
      running--;
      runningChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Marks the instance as not ready and every further response as the last of its connection. */
  void startDraining() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  /** Refuses new requests: a late one on a keep-alive connection might not end in time. */
  void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  /** Waits until all requests have ended or the timeout; returns the number still running. */
  int awaitIdle(long timeoutNanos) throws InterruptedException {
    long remainingNanos = timeoutNanos;
    lock.lock();
    try {
      while (running > 0 && remainingNanos > 0) {
        remainingNanos = runningChanged.awaitNanos(remainingNanos);
      }
      return running;
    } finally {
      lock.unlock();
    }
  }

  /** Sleeps for a fixed time. */
  static void pause(long nanos) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(nanos);
  }
}
