package org.teaseltrestle.node.relay;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.FatalErrors;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.AttemptHandle;

/** Expires attempts at their deadlines. */
public final class AttemptDeadlines implements AutoCloseable {

  private final MonotonicClock clock;
  private final ScheduledThreadPoolExecutor timer;

  /** Creates a timer without deadlines. */
  public AttemptDeadlines(MonotonicClock clock) {
    this.clock = clock;
    this.timer = new ScheduledThreadPoolExecutor(1, new DaemonThreads("attempt-deadlines"));
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Deadline that applies until it is closed. */
  public interface Deadline extends AutoCloseable {
    @Override
    void close();
  }

  /** Expires an attempt at a monotonic time unless the returned deadline is closed before. */
  public Deadline schedule(AttemptHandle handle, long deadlineNanos) {
    long remainingNanos = Math.max(0, deadlineNanos - clock.nowNanos());
    ScheduledFuture<?> task =
        timer.schedule(FatalErrors.reporting(handle::expire), remainingNanos, TimeUnit.NANOSECONDS);
    return () -> task.cancel(false);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
