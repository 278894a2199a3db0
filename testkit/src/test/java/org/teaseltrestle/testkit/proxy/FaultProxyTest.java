package org.teaseltrestle.testkit.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.teaseltrestle.testkit.fakes.Addresses;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.HttpShell;
import org.teaseltrestle.testkit.http.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against links that pass bytes in a direction that is cut, or lose them after it. */
public final class FaultProxyTest {

  private static final int SILENCE_MILLIS = 200;
  private static final int LIMIT_MILLIS = 10_000;

  private FaultProxy proxy = new FaultProxy();
  private ServerSocket target = listen();
  private Socket caller = new Socket();
  private Socket callee = new Socket();

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
    caller = new Socket(address.getAddress(), address.getPort());
    callee = target.accept();
    caller.setSoTimeout(LIMIT_MILLIS);
    callee.setSoTimeout(LIMIT_MILLIS);
  }

  @AfterMethod
  void close() throws IOException {
    proxy.close();
    target.close();
    caller.close();
    callee.close();
  }

  private static void assertSilent(Socket socket) throws IOException {
    socket.setSoTimeout(SILENCE_MILLIS);
    assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    socket.setSoTimeout(LIMIT_MILLIS);
  }

  @Test
  public void cutsOneDirectionOnlyAndDeliversLate() throws IOException {
    proxy.link("link").set(LinkMode.DROP_FORWARD);
    caller.getOutputStream().write(7);
    callee.getOutputStream().write(8);
    assertEquals(caller.getInputStream().read(), 8);
    assertSilent(callee);
    proxy.healAll();
    assertEquals(callee.getInputStream().read(), 7);
  }

  @Test
  public void breaksAndRefusesOverHttp() throws IOException {
    try (HttpShell control = proxy.control("127.0.0.1:0")) {
      String url = "http://" + control.hostAndPort() + "/links/link";
      HttpClients.post(url, Json.object().put("mode", "refuse"));
    }
    assertEquals(caller.getInputStream().read(), -1);
    assertEquals(callee.getInputStream().read(), -1);
    var address = Addresses.parse(proxy.link("link").address());
    try (Socket refused = new Socket(address.getAddress(), address.getPort())) {
      refused.setSoTimeout(LIMIT_MILLIS);
      assertEquals(refused.getInputStream().read(), -1);
    }
  }
}
