package org.teaseltrestle.testkit.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against links that forward bytes in a blocked direction, or lose the bytes held back. */
public final class FaultProxyTest {

  private static final int NO_DATA_MILLIS = 200;
  private static final int TIMEOUT_MILLIS = 10_000;

  private FaultProxy proxy = new FaultProxy();
  private ServerSocket target = listen();
  private Socket client = new Socket();
  private Socket upstream = new Socket();

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @BeforeMethod
  void connect() throws IOException {
    proxy = new FaultProxy();
    target = listen();
    ProxyLink link = proxy.open("link", "127.0.0.1:0", "127.0.0.1:" + target.getLocalPort());
    var address = Addresses.parse(link.address());
    client = new Socket(address.getAddress(), address.getPort());
    upstream = target.accept();
    client.setSoTimeout(TIMEOUT_MILLIS);
    upstream.setSoTimeout(TIMEOUT_MILLIS);
  }

  @AfterMethod
  void close() throws IOException {
    proxy.close();
    target.close();
    client.close();
    upstream.close();
  }

  private static void assertNoData(Socket socket) throws IOException {
    socket.setSoTimeout(NO_DATA_MILLIS);
    assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    socket.setSoTimeout(TIMEOUT_MILLIS);
  }

  @Test
  public void blocksOneDirectionOnlyAndDeliversLater() throws IOException {
    proxy.link("link").set(LinkMode.DROP_FORWARD);
    client.getOutputStream().write(7);
    upstream.getOutputStream().write(8);
    assertEquals(client.getInputStream().read(), 8);
    assertNoData(upstream);
    proxy.restoreAll();
    assertEquals(upstream.getInputStream().read(), 7);
  }

  @Test
  public void refuseModeSetOverHttpClosesOpenAndNewConnections() throws IOException {
    try (FakeHttpServer control = proxy.control("127.0.0.1:0")) {
      String url = "http://" + control.hostAndPort() + "/links/link";
      HttpClients.post(url, Json.object().put("mode", "refuse"));
    }
    assertEquals(client.getInputStream().read(), -1);
    assertEquals(upstream.getInputStream().read(), -1);
    var address = Addresses.parse(proxy.link("link").address());
    try (Socket refused = new Socket(address.getAddress(), address.getPort())) {
      refused.setSoTimeout(TIMEOUT_MILLIS);
      assertEquals(refused.getInputStream().read(), -1);
    }
  }
}
