package org.teaseltrestle.node.relay;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.EngineClient;

/** Sends cancel calls to engines without blocking the relay threads. */
final class BackgroundCancellations implements AutoCloseable {

  private static final int THREADS = 4;
  private static final int QUEUE_CAPACITY = 1_024;
  private static final long IDLE_SECONDS = 10;
  private static final long CLOSE_SECONDS = 2;

  private final EngineClient engines;
  private final ThreadPoolExecutor pool;

  BackgroundCancellations(EngineClient engines) {
    this.engines = engines;
    this.pool =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(QUEUE_CAPACITY),
            new DaemonThreads("relay-cancel"),
            // The engine also detects the closed connection, so a cancel call may be dropped.
            new ThreadPoolExecutor.DiscardPolicy());
    pool.allowCoreThreadTimeOut(true);
  }

  /** Asks an engine asynchronously to stop a request. */
  void cancel(String address, RequestId request) {
    pool.execute(() -> engines.cancel(address, request));
  }

  @Override
  public void close() {
    pool.shutdown();
    try {
      pool.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
