package org.teaseltrestle.node.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.kernel.MonotonicClock;
import org.testng.annotations.Test;

/** Tests of servers that send bytes before they are asked. */
public final class ConnectionTurnsTest {

  private static final int MAXIMUM_BYTES = 1024;

  /** Guards against bytes that arrived before the request was sent and are read as its response. */
  @Test
  public void bytesBeforeTheRequestBelongToNoRequest() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        BoundedSocket client = new BoundedSocket(MonotonicClock.SYSTEM, MAXIMUM_BYTES)) {
      client.connect(server.getLocalSocketAddress());
      try (Socket accepted = server.accept()) {
        client.startResponse(Duration.ofSeconds(5));
        accepted.getOutputStream().write("HTTP/1.1 503 x".getBytes(US_ASCII));
        InputStream input = client.getInputStream();
        while (input.available() == 0) {
          LockSupport.parkNanos(1_000_000);
        }
        OutputStream output = client.getOutputStream();
        expectThrows(
            BoundedSocket.EarlyResponseException.class, () -> output.write(new byte[] {1}));
        expectThrows(IOException.class, input::read);
        accepted.shutdownOutput();
        client.close();
        assertEquals(accepted.getInputStream().read(), -1, "a byte of the request was sent");
      }
    }
  }

  /** Guards against a response that is rejected because it arrives while the request is sent. */
  @Test
  public void bytesAfterTheStartOfTheRequestAreRead() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        BoundedSocket client = new BoundedSocket(MonotonicClock.SYSTEM, MAXIMUM_BYTES)) {
      client.connect(server.getLocalSocketAddress());
      try (Socket accepted = server.accept()) {
        client.startResponse(Duration.ofSeconds(5));
        client.getOutputStream().write(1);
        accepted.getOutputStream().write('H');
        assertEquals(client.getInputStream().read(), 'H');
        client.getOutputStream().write(2);
        assertEquals(accepted.getInputStream().readNBytes(2), new byte[] {1, 2});
      }
    }
  }
}
