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
import java.util.Arrays;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.testng.annotations.DataProvider;
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

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  /** Returns the ways in which a body is framed, each with a body. */
  @DataProvider
  public Object[][] framings() {
    String chunk =
        Integer.toHexString(BODY_BYTES) + "\r\n" + "x".repeat(BODY_BYTES) + "\r\n0\r\n\r\n";
    return new Object[][] {
      {"Content-Length: " + BODY_BYTES, new byte[BODY_BYTES]},
      {"Transfer-Encoding: chunked", chunk.getBytes(US_ASCII)},
    };
  }

  /** Guards against the rest of a body that keeps a connection for longer than two seconds. */
  @Test
  public void connectionEndsIfTheBodyDoesNotArrive() throws IOException {
    ExecutorService relay = Executors.newSingleThreadExecutor();
    Undertow server = server(relay);
    server.start();
    try (Socket socket = new Socket()) {
      socket.connect((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      String head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(US_ASCII));
      assertEquals(response(socket.getInputStream()), "HTTP/1.1 403");
      assertEquals(socket.getInputStream().read(), -1);
    } finally {
      server.stop();
      relay.shutdown();
    }
  }

  /**
   * Guards against a connection that is closed, though its caller was not told, as the rest of a
   * body is discarded through a file channel that another thread's interruption has closed.
   */
  @Test(dataProvider = "framings")
  public void connectionServesAfterTheBodyOfRefusedRequest(String framing, byte[] body)
      throws IOException {
    ExecutorService relay = Executors.newSingleThreadExecutor();
    Undertow server = server(relay);
    server.start();
    try (Socket socket = new Socket()) {
      socket.connect((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      for (int i = 0; i < 3; i++) {
        byte[] head = ("POST /x HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n").getBytes(US_ASCII);
        // The rest of a body and the next request arrive together.
        socket.getOutputStream().write(i == 0 ? head : concat(body, head));
        assertEquals(response(socket.getInputStream()), "HTTP/1.1 403");
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
