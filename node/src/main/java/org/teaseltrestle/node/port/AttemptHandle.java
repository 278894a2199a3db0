package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;

/** Lets another thread cancel a running attempt. */
public final class AttemptHandle {

  private @Nullable Runnable canceller;
  private boolean cancelled;
  private boolean expired;

  /** Sets what stops the attempt; runs it at once if the attempt is already cancelled. */
  public synchronized void onCancel(Runnable action) {
    canceller = action;
    if (cancelled) {
      action.run();
    }
  }

  /** Stops the attempt. */
  public synchronized void cancel() {
    if (!cancelled) {
      cancelled = true;
      if (canceller != null) {
        canceller.run();
      }
    }
  }

  /** Stops the attempt because its time is over. */
  public synchronized void expire() {
    expired = !cancelled;
    cancel();
  }

  /** Tells whether the attempt was stopped because its time was over. */
  public synchronized boolean isExpired() {
    return expired;
  }

  /** Tells whether the attempt was cancelled. */
  public synchronized boolean isCancelled() {
    return cancelled;
  }
}
