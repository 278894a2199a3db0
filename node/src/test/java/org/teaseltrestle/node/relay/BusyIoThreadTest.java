package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** Tests of {@link CallerDisconnectWatch} on an instance whose I/O threads are late. */
public final class BusyIoThreadTest {

  private final CountDownLatch requestRead = new CountDownLatch(1);
  private final CountDownLatch callerLeft = new CountDownLatch(1);
  private final CountDownLatch checked = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final AtomicBoolean found = new AtomicBoolean();

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void handle(HttpServerExchange exchange) {
    exchange.dispatch(
        () -> {
          exchange.getIoThread().execute(() -> await(released));
          requestRead.countDown();
          await(callerLeft);
          CallerDisconnectWatch watch =
              CallerDisconnectWatch.start(exchange, () -> found.set(true));
          long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
          while (watch != null && !found.get() && System.nanoTime() - deadline < 0) {
            watch.check();
          }
          checked.countDown();
        });
  }

  /**
   * Guards against requests that are sent to a server long after their callers have left, because
   * the thread that would notice is busy.
   */
  @Test
  public void closeIsFoundWithoutTheIoThread() throws Exception {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1", this::handle)
            .setIoThreads(1)
            .setWorkerThreads(2)
            .build();
    server.start();
    try {
      int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
      try (RawCaller caller = new RawCaller(port)) {
        caller.request("GET / HTTP/1.1");
        await(requestRead);
      }
      callerLeft.countDown();
      await(checked);
      assertTrue(found.get(), "the close was not found");
    } finally {
      released.countDown();
      server.stop();
    }
  }
}
