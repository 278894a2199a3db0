package org.teaseltrestle.node.carry;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.FatalErrors;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.policy.ServerLinks;

/** Tries connections to backend servers in the background while the links are lost. */
public final class LinkTrials implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(LinkTrials.class);
  private static final long IDLE_SECONDS = 5;

  private final ServerLinks links;
  private final Predicate<String> connects;
  private final MonotonicClock clock;
  private final ThreadPoolExecutor thread =
      new ThreadPoolExecutor(
          1,
          1,
          IDLE_SECONDS,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(1),
          new DaemonThreads("link-trials"));

  /**
   * Creates trials.
   *
   * @param connects whether a connection to an address succeeds; blocks for a bounded time
   */
  public LinkTrials(ServerLinks links, Predicate<String> connects, MonotonicClock clock) {
    this.links = links;
    this.connects = connects;
    this.clock = clock;
    thread.allowCoreThreadTimeOut(true);
  }

  /** Tries a connection unless the links are in use or the last trial was a moment ago. */
  void tryIfDue(String address) {
    if (!links.takeTrial(clock.nowNanos())) {
      return;
    }
    try {
      thread.execute(FatalErrors.reporting(() -> tryConnection(address)));
    } catch (RejectedExecutionException e) {
      // The trials before have not ended; another one follows.
      LOG.info(CarryEvent.LINKS_TRIED, "server", address, "outcome", "not tried");
    }
  }

  private void tryConnection(String address) {
    boolean connected = connects.test(address);
    LOG.info(CarryEvent.LINKS_TRIED, "server", address, "outcome", connected);
    if (connected) {
      links.trialSucceeded();
    }
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
