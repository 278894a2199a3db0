package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.testng.annotations.Test;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Tests of request bodies that arrive after the response that refuses the request. */
public final class RefusedBodyTest {

  private static final int BODY_BYTES = 100_000;
  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static final byte[] ANSWER = "refused".getBytes(US_ASCII);

  private static Undertow server(ExecutorService relay) {
    return Undertow.builder()
        .setIoThreads(1)
        .addHttpListener(0, "127.0.0.1")
        .setHandler(
            exchange -> {
              exchange.addRequestWrapper(
                  (factory, wrapped) -> new WithoutFileChannel(factory.create()));
              exchange.dispatch(relay, () -> refuse(exchange));
            })
        .build();
  }

  private static void refuse(HttpServerExchange exchange) {
    try (ByteBudget.Reservation memory = new ByteBudget(1_000_000).open()) {
      new CallerResponse(
              exchange, new RequestId("r"), Duration.ofSeconds(5), MonotonicClock.SYSTEM, memory)
          .sendComplete(403, "text/plain", ANSWER);
    }
  }

  private static String response(InputStream input) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("refused")) {
      int next = input.read();
      if (next < 0) {
        return "closed after " + text;
      }
      text.append((char) next);
    }
    return text.substring(0, "HTTP/1.1 403".length());
  }

  /**
   * Guards against a connection that is closed, though its caller was not told, as the rest of a
   * body is discarded through a file channel that another thread's interruption has closed.
   */
  @Test
  public void connectionServesAfterTheBodyOfRefusedRequest() throws IOException {
    ExecutorService relay = Executors.newSingleThreadExecutor();
    Undertow server = server(relay);
    server.start();
    try (Socket socket = new Socket()) {
      socket.connect((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      for (int i = 0; i < 3; i++) {
        String head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(US_ASCII));
        assertEquals(response(socket.getInputStream()), "HTTP/1.1 403");
        socket.getOutputStream().write(new byte[BODY_BYTES]);
      }
    } finally {
      server.stop();
      relay.shutdown();
    }
  }

  /** Request body whose transfer to a file fails. */
  private static final class WithoutFileChannel
      extends AbstractStreamSourceConduit<StreamSourceConduit> {

    WithoutFileChannel(StreamSourceConduit next) {
      super(next);
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
      throw new ClosedChannelException();
    }
  }
}
