package org.teaseltrestle.testkit.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;

/** HTTP server of a fake; each request is handled on a worker thread with blocking I/O. */
public final class FakeHttpServer implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(FakeHttpServer.class);

  /** Large, since a stream occupies its worker thread until it ends; idle threads cost nothing. */
  private static final int WORKER_THREADS = 128;

  /** Far above the longest prompts of the traces. */
  private static final long MAXIMUM_BODY_BYTES = 64L << 20;

  private final Undertow server;

  /** Handles the requests of a server. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Handles one request, on a worker thread.
     *
     * @throws IOException if the client has disconnected
     */
    void handle(ServerExchange exchange) throws IOException;
  }

  private FakeHttpServer(Undertow server) {
    this.server = server;
  }

  /** Starts a server; port 0 selects an unused port. */
  public static FakeHttpServer start(InetSocketAddress address, Handler handler) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(1)
            .setWorkerThreads(WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
            .setHandler(exchange -> exchange.dispatch(() -> handle(exchange, handler)))
            .build();
    server.start();
    return new FakeHttpServer(server);
  }

  private static void handle(HttpServerExchange exchange, Handler handler) {
    try {
      ServerExchange call = new ServerExchange(exchange);
      try {
        handler.handle(call);
      } catch (TrestleException e) {
        call.replyError(400, "malformed_request");
      }
    } catch (IOException e) {
      // The client disconnected, which ends the request.
      exchange.endExchange();
    } catch (RuntimeException e) {
      LOG.error(TestkitEvent.FAKE_FAILED, e, "path", exchange.getRequestPath());
      exchange.setStatusCode(500);
      exchange.endExchange();
    }
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Returns the address as {@code host:port}. */
  public String hostAndPort() {
    return address().getHostString() + ":" + address().getPort();
  }

  @Override
  public void close() {
    server.stop();
  }
}
