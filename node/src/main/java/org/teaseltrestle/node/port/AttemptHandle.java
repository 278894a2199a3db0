package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;

/** Lets another thread cancel a running attempt. Safe for use by any thread. */
public final class AttemptHandle {

  private @Nullable Runnable canceller;
  private boolean cancelled;
  private boolean expired;

  /** Sets the action that stops the attempt; runs it at once if the attempt is cancelled. */
  public synchronized void onCancel(Runnable action) {
    canceller = action;
    if (cancelled) {
      action.run();
    }
  }

  /** Stops the attempt; does nothing if it is already cancelled. */
  public synchronized void cancel() {
    if (!cancelled) {
      cancelled = true;
      if (canceller != null) {
        canceller.run();
      }
    }
  }

  /** Cancels the attempt because its deadline has passed. */
  public synchronized void expire() {
    expired = !cancelled;
    cancel();
  }

  /** Returns whether the attempt was cancelled because its deadline had passed. */
  public synchronized boolean isExpired() {
    return expired;
  }

  /** Returns whether the attempt was cancelled, for whatever reason. */
  public synchronized boolean isCancelled() {
    return cancelled;
  }
}
