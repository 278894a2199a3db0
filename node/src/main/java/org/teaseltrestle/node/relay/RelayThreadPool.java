package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.Semaphore;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.DaemonThreads;

/**
 * Bounded pool of relay threads. Requests never queue for a thread: queueing is left to the
 * admission duty, which knows deadlines and accounts.
 */
final class RelayThreadPool implements AutoCloseable {

  private static final long IDLE_SECONDS = 30;

  /** Allowance for threads that have ended their request but not yet returned to the pool. */
  private static final int SPARE_THREADS = 32;

  private final Semaphore available;
  private final ThreadPoolExecutor pool;

  RelayThreadPool(int threads) {
    this.available = new Semaphore(threads);
    this.pool =
        new ThreadPoolExecutor(
            Math.min(threads, 16),
            threads + SPARE_THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            new DaemonThreads("relay"));
  }

  /** Runs a request on a relay thread; returns false if all are busy. */
  boolean execute(HttpServerExchange exchange, Runnable request) {
    if (!available.tryAcquire()) {
      return false;
    }
    exchange.dispatch(
        pool,
        () -> {
          try {
            request.run();
          } finally {
            available.release();
          }
        });
    return true;
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }
}
