package org.teaseltrestle.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Counts requests in flight, so that a shutdown can wait for their end. A request either starts
 * before the instance refuses new ones and is waited for, or is refused.
 */
final class DrainTracker {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition runningChanged = lock.newCondition();
  private int running;
  private int refusals;
  private boolean refusing;
  private volatile boolean draining;

  /** Counts a request as running; returns false, and counts nothing, if new ones are refused. */
  boolean tryStart() {
    lock.lock();
    try {
      if (refusing) {
        return false;
      }
      running++;
      return true;
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

  /** Counts a refusal whose response is being sent. */
  void refusalStarted() {
    lock.lock();
    try {
      refusals++;
    } finally {
      lock.unlock();
    }
  }

  void refusalEnded() {
    lock.lock();
    try {
      refusals--;
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
    lock.lock();
    try {
      refusing = true;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until all requests have ended or the timeout, then refuses new ones; returns the number
   * still running.
   */
  int awaitIdle(long timeoutNanos) throws InterruptedException {
    long remainingNanos = timeoutNanos;
    lock.lock();
    try {
      while (running > 0 && remainingNanos > 0) {
        remainingNanos = runningChanged.awaitNanos(remainingNanos);
      }
      refusing = true;
      return running;
    } finally {
      lock.unlock();
    }
  }

  /** Waits until the responses of all refusals have been sent or the timeout. */
  void awaitRefusals(long timeoutNanos) throws InterruptedException {
    long remainingNanos = timeoutNanos;
    lock.lock();
    try {
      while (refusals > 0 && remainingNanos > 0) {
        remainingNanos = runningChanged.awaitNanos(remainingNanos);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Sleeps for a fixed time. */
  static void pause(long nanos) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(nanos);
  }
}
