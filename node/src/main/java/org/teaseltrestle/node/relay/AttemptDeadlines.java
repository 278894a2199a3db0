package org.teaseltrestle.node.relay;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.AttemptHandle;

/** Ends attempts whose time is over. */
final class AttemptDeadlines implements AutoCloseable {

  private final MonotonicClock clock;
  private final ScheduledThreadPoolExecutor timer;

  AttemptDeadlines(MonotonicClock clock) {
    this.clock = clock;
    this.timer =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "attempt-deadlines");
              thread.setDaemon(true);
              return thread;
            });
    timer.setRemoveOnCancelPolicy(true);
  }

  /** A deadline that holds until it is closed. */
  interface Watch extends AutoCloseable {
    @Override
    void close();
  }

  /** Ends an attempt at a monotonic time unless the returned watch is closed before. */
  Watch watch(AttemptHandle handle, long deadlineNanos) {
    long left = Math.max(0, deadlineNanos - clock.nowNanos());
    ScheduledFuture<?> task = timer.schedule(handle::expire, left, TimeUnit.NANOSECONDS);
    return () -> task.cancel(false);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
