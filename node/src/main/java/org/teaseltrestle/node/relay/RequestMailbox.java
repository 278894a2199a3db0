package org.teaseltrestle.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.policy.AdmissionAction;

/** Carries decisions about one request to the relay thread that waits for them. */
final class RequestMailbox {

  /** What a relay thread can be woken by. */
  private enum Wake {
    DECISION,
    CALLER_LEFT
  }

  /** What happens to a running attempt when the caller leaves. */
  enum OnCallerLeft {
    /** The attempt is cancelled. */
    CANCEL,
    /** The attempt goes on: a call that may run only once must end with a known outcome. */
    FINISH
  }

  private record Item(Wake wake, @Nullable AdmissionAction action) {}

  private final RequestId request;
  private final @Nullable String keyId;
  private final OnCallerLeft onCallerLeft;
  private final BlockingQueue<Item> items = new LinkedBlockingQueue<>();
  private @Nullable AttemptHandle running;
  private int runningAttempt;
  private boolean closed;
  private volatile boolean callerLeft;

  RequestMailbox(RequestId request, @Nullable String keyId, OnCallerLeft onCallerLeft) {
    this.request = request;
    this.keyId = keyId;
    this.onCallerLeft = onCallerLeft;
  }

  RequestId request() {
    return request;
  }

  @Nullable String keyId() {
    return keyId;
  }

  /** Hands in a decision; returns false if nobody will read it any more. */
  synchronized boolean post(AdmissionAction action) {
    return !closed && items.add(new Item(Wake.DECISION, action));
  }

  /** Takes no more decisions; returns the dispatches that were not read. */
  synchronized List<AdmissionAction.Dispatch> close() {
    closed = true;
    List<AdmissionAction.Dispatch> unread = new ArrayList<>();
    for (Item item : items) {
      if (item.action() instanceof AdmissionAction.Dispatch dispatch) {
        unread.add(dispatch);
      }
    }
    return unread;
  }

  /** Notes that the caller left: wakes a waiting relay thread and cancels a running attempt. */
  void callerLeft() {
    callerLeft = true;
    items.add(new Item(Wake.CALLER_LEFT, null));
    AttemptHandle handle = handle(0);
    if (handle != null && onCallerLeft == OnCallerLeft.CANCEL) {
      handle.cancel();
    }
  }

  boolean hasCallerLeft() {
    return callerLeft;
  }

  void cancelAttempt(int attempt) {
    AttemptHandle handle = handle(attempt);
    if (handle != null) {
      handle.cancel();
    }
  }

  /** Makes an attempt the running one, so that it can be cancelled. */
  void begin(int attempt, AttemptHandle handle) {
    synchronized (this) {
      running = handle;
      runningAttempt = attempt;
    }
    if (callerLeft && onCallerLeft == OnCallerLeft.CANCEL) {
      handle.cancel();
    }
  }

  /** Ends the running attempt. */
  synchronized void end() {
    running = null;
  }

  /**
   * Waits for the next decision.
   *
   * @return the decision, or null if none came in time
   * @throws CallerGoneException if the caller left
   */
  @Nullable AdmissionAction await(long timeoutNanos) {
    if (callerLeft) {
      throw new CallerGoneException();
    }
    try {
      Item item = items.poll(timeoutNanos, TimeUnit.NANOSECONDS);
      if (item != null && item.wake() == Wake.CALLER_LEFT) {
        throw new CallerGoneException();
      }
      return item == null ? null : item.action();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  private synchronized @Nullable AttemptHandle handle(int attempt) {
    return attempt == 0 || attempt == runningAttempt ? running : null;
  }
}
