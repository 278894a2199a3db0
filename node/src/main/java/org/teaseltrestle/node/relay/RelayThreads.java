package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.Semaphore;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Bounded pool of relay threads. Requests never wait for a thread: waiting is the admission duty's
 * business, which knows deadlines and accounts.
 */
final class RelayThreads implements AutoCloseable {

  private static final long IDLE_SECONDS = 30;

  /** Threads that have ended their request but not yet returned to the pool. */
  private static final int SPARE_THREADS = 32;

  private final Semaphore free;
  private final ThreadPoolExecutor pool;

  RelayThreads(int threads) {
    this.free = new Semaphore(threads);
    this.pool =
        new ThreadPoolExecutor(
            Math.min(threads, 16),
            threads + SPARE_THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, "relay");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Runs a request on a relay thread; returns false if all are busy. */
  boolean execute(HttpServerExchange exchange, Runnable request) {
    if (!free.tryAcquire()) {
      return false;
    }
    exchange.dispatch(
        pool,
        () -> {
          try {
            request.run();
          } finally {
            free.release();
          }
        });
    return true;
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }
}
