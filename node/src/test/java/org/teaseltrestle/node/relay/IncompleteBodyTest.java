package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of request bodies that end before they are complete. */
public final class IncompleteBodyTest {

  private static final String HEAD =
      " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: id-1\r\nKey: none\r\nTimeout: 4000\r\n";
  private static final int TIMEOUT_MILLIS = 15_000;

  private static List<String> incompleteBodies(String body) {
    String length = Integer.toHexString(body.length());
    String chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return List.of(
        "Content-Length: " + (body.length() + 1) + "\r\n\r\n" + body,
        "Content-Length: 4000000\r\n\r\n" + body,
        "Content-Length: 1\r\n\r\n",
        chunked,
        chunked + length + "\r\n" + body,
        chunked + length + "\r\n" + body + "\r\n",
        chunked + length + "\r\n" + body + "\r\n0\r\n",
        chunked + "fff\r\n" + body);
  }

  private enum End {
    NONE,
    OUTPUT,
    RESET
  }

  private static String send(int port, String request, End end) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      if (end == End.RESET) {
        socket.setSoLinger(true, 0);
        return "";
      }
      if (end == End.OUTPUT) {
        socket.shutdownOutput();
      }
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (SocketException e) {
      return "";
    }
  }

  /** Guards against running a request of which only a part of the body was received. */
  @Test
  public void incompleteBodyReachesNoServer() throws Exception {
    FakeServer.Behaviour answer =
        (request, output) -> {
          FakeServer.send(output, 200, "X-Request-Id: id-1\r\n", "ok");
          return true;
        };
    try (FakeServer server = new FakeServer(answer);
        RoutedHarness relay = new RoutedHarness(server)) {
      for (String path : List.of("/call/x", "/stream/x", "/single/x")) {
        for (String body : incompleteBodies("{\"a\":1}")) {
          String request = "POST " + path + HEAD + body;
          String response = send(relay.port(), request, End.OUTPUT);
          assertFalse(response.startsWith("HTTP/1.1 200"), body);
          send(relay.port(), request, End.RESET);
        }
      }
      // A complete request is served, so that the requests above were not refused by all means.
      String complete = "POST /call/x" + HEAD + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
      assertEquals(send(relay.port(), complete, End.NONE).substring(0, 12), "HTTP/1.1 200");
      assertEquals(server.received.size(), 1);
    }
  }
}
