package org.teaseltrestle.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against processes outside the system that impersonate one of its nodes. */
public final class MutualTlsTest {

  private static final Instant TOMORROW = Instant.now().plus(Duration.ofDays(1));
  private static final long SLOW_HANDSHAKE_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final Instant YESTERDAY = Instant.now().minus(Duration.ofDays(1));

  private final Closer closer = new Closer();
  private final TestCertificates trustedAuthority;
  private final TestCertificates otherAuthority;

  /** Creates two certificate authorities. */
  public MutualTlsTest() throws Exception {
    Path folder = Files.createTempDirectory("tls-test");
    trustedAuthority = new TestCertificates(folder, "authority");
    otherAuthority = new TestCertificates(folder, "other-authority");
  }

  /** Closes the transports of the test. */
  @AfterMethod
  public void close() {
    closer.close();
  }

  @Test
  public void acceptsPeerOfSameAuthority() throws Exception {
    assertEquals(callAs("client", trustedAuthority.issue("client", TOMORROW)).length, 1);
  }

  @Test
  public void refusesPlainConnection() {
    assertThrows(ExecutionException.class, () -> callAs("client", null));
  }

  @Test
  public void refusesExpiredCertificate() {
    assertThrows(
        ExecutionException.class,
        () -> callAs("client", trustedAuthority.issue("client", YESTERDAY)));
  }

  @Test
  public void refusesCertificateOfOtherAuthority() {
    assertThrows(
        ExecutionException.class, () -> callAs("client", otherAuthority.issue("client", TOMORROW)));
  }

  @Test
  public void refusesCertificateOfOtherInstance() {
    assertThrows(
        ExecutionException.class,
        () -> callAs("client", trustedAuthority.issue("impostor", TOMORROW)));
  }

  /** Guards against nodes that never connect while handshakes are slow, as at a busy start. */
  @Test
  public void slowHandshakeCompletes() throws Exception {
    NettyPeerTransport server = open("server", trustedAuthority.issue("server", TOMORROW));
    server.register("echo", (message, reply) -> reply.accept(new byte[1]));
    NettyPeerTransport client = open("client", trustedAuthority.issue("client", TOMORROW));
    ServerSocket proxy = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
    closer.register(proxy::close);
    CompletableFuture<Void> forwarding =
        CompletableFuture.runAsync(() -> forwardFirst(proxy, server.localAddress()));
    CompletableFuture<byte[]> call =
        client.call(
            (InetSocketAddress) proxy.getLocalSocketAddress(),
            "echo",
            1,
            new byte[0],
            System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
    assertEquals(call.get(20, TimeUnit.SECONDS).length, 1);
    client.close();
    forwarding.get(20, TimeUnit.SECONDS);
  }

  /** Forwards the first connection; the first bytes reach the server late. */
  private static void forwardFirst(ServerSocket proxy, InetSocketAddress target) {
    try (Socket client = proxy.accept();
        Socket server = new Socket(target.getAddress(), target.getPort())) {
      byte[] first = new byte[64 * 1024];
      int count = client.getInputStream().read(first);
      LockSupport.parkNanos(SLOW_HANDSHAKE_NANOS);
      server.getOutputStream().write(first, 0, count);
      CompletableFuture<Void> responses = CompletableFuture.runAsync(() -> forward(server, client));
      forward(client, server);
      responses.join();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void forward(Socket from, Socket to) {
    try {
      from.getInputStream().transferTo(to.getOutputStream());
      to.shutdownOutput();
    } catch (IOException e) {
      // Either end has closed the connection.
      return;
    }
  }

  private byte[] callAs(String instance, @Nullable TlsMaterial tlsMaterial) throws Exception {
    NettyPeerTransport server = open("server", trustedAuthority.issue("server", TOMORROW));
    server.register("echo", (message, reply) -> reply.accept(new byte[1]));
    NettyPeerTransport client = open(instance, tlsMaterial);
    CompletableFuture<byte[]> call =
        client.call(
            server.localAddress(),
            "echo",
            1,
            new byte[0],
            System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
    return call.get(20, TimeUnit.SECONDS);
  }

  private NettyPeerTransport open(String instance, @Nullable TlsMaterial tlsMaterial) {
    return closer.register(
        new NettyPeerTransport(
            TransportConfiguration.builder()
                .instance(new InstanceId(instance))
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .tls(tlsMaterial)
                .build(),
            MonotonicClock.SYSTEM));
  }
}
