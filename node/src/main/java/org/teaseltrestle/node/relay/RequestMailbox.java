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

/** Delivers admission decisions about one request to the relay thread that waits for them. */
final class RequestMailbox {

  /** Reason for waking the relay thread. */
  private enum Wake {
    DECISION,
    CALLER_DISCONNECTED,
    ENDED
  }

  /** What happens to a running attempt when the caller disconnects. */
  enum OnDisconnect {
    /** The attempt is cancelled. */
    CANCEL,
    /** The attempt continues: an at-most-once call must end with a known outcome. */
    FINISH
  }

  private record Message(Wake wake, @Nullable AdmissionAction action) {}

  private final RequestId request;
  private final @Nullable String keyId;
  private final OnDisconnect onDisconnect;
  private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
  private @Nullable AttemptHandle runningHandle;
  private int runningAttempt;
  private boolean closed;
  private volatile boolean callerDisconnected;
  private volatile boolean ended;

  RequestMailbox(RequestId request, @Nullable String keyId, OnDisconnect onDisconnect) {
    this.request = request;
    this.keyId = keyId;
    this.onDisconnect = onDisconnect;
  }

  RequestId request() {
    return request;
  }

  @Nullable String keyId() {
    return keyId;
  }

  /** Delivers a decision; returns false if the mailbox is closed. */
  synchronized boolean post(AdmissionAction action) {
    return !closed && messages.add(new Message(Wake.DECISION, action));
  }

  /** Accepts no more decisions; returns the dispatches that were not read. */
  synchronized List<AdmissionAction.Dispatch> close() {
    closed = true;
    List<AdmissionAction.Dispatch> unread = new ArrayList<>();
    for (Message message : messages) {
      if (message.action() instanceof AdmissionAction.Dispatch dispatch) {
        unread.add(dispatch);
      }
    }
    return unread;
  }

  /** Records a disconnect: wakes a waiting relay thread and, if allowed, cancels the attempt. */
  void callerDisconnected() {
    callerDisconnected = true;
    messages.add(new Message(Wake.CALLER_DISCONNECTED, null));
    AttemptHandle handle = handle(0);
    if (handle != null && onDisconnect == OnDisconnect.CANCEL) {
      handle.cancel();
    }
  }

  boolean hasCallerDisconnected() {
    return callerDisconnected;
  }

  /** Ends the request, because this instance stops: no further attempt is made. */
  void end() {
    ended = true;
    messages.add(new Message(Wake.ENDED, null));
    AttemptHandle handle = handle(0);
    if (handle != null) {
      handle.expire();
    }
  }

  boolean isEnded() {
    return ended;
  }

  void cancelAttempt(int attempt) {
    AttemptHandle handle = handle(attempt);
    if (handle != null) {
      handle.cancel();
    }
  }

  /** Sets the running attempt, so that it can be cancelled. */
  void attemptStarted(int attempt, AttemptHandle handle) {
    synchronized (this) {
      runningHandle = handle;
      runningAttempt = attempt;
    }
    if (callerDisconnected && onDisconnect == OnDisconnect.CANCEL) {
      handle.cancel();
    }
    if (ended) {
      handle.expire();
    }
  }

  /** Returns whether an attempt is running, so that no decision is awaited. */
  synchronized boolean isAttemptRunning() {
    return runningHandle != null;
  }

  /** Clears the running attempt. */
  synchronized void attemptEnded() {
    runningHandle = null;
  }

  /**
   * Waits for the next decision.
   *
   * @return the decision, or null if none came in time or the request was ended
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  @Nullable AdmissionAction await(long timeoutNanos) {
    if (callerDisconnected) {
      throw new CallerDisconnectedException();
    }
    if (ended) {
      return null;
    }
    try {
      Message message = messages.poll(timeoutNanos, TimeUnit.NANOSECONDS);
      if (message != null && message.wake() == Wake.CALLER_DISCONNECTED) {
        throw new CallerDisconnectedException();
      }
      return message == null ? null : message.action();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  private synchronized @Nullable AttemptHandle handle(int attempt) {
    return attempt == 0 || attempt == runningAttempt ? runningHandle : null;
  }
}
