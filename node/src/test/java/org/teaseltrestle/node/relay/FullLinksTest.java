package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpRoutedClient;
import org.teaseltrestle.node.carry.WatchedRoutedClient;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.ServerLinks;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of links on which connections are not made in time, with and without bytes that arrive. */
public final class FullLinksTest {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
  private static final int BODY_BYTES = 60_000;

  private final List<AutoCloseable> resources = new ArrayList<>();
  private ServerLinks links = new ServerLinks();
  private @Nullable WatchedRoutedClient client;

  /** Starts with sound links. */
  @BeforeMethod
  public void start() {
    BackendHttp http = open(new BackendHttp(CONNECT_TIMEOUT, Duration.ofSeconds(5)));
    links = new ServerLinks();
    client =
        WatchedRoutedClient.withArrivals(
            onArrival -> new HttpRoutedClient(http, onArrival), links, MonotonicClock.SYSTEM);
  }

  /** Closes what the test opened. */
  @AfterMethod
  public void close() throws Exception {
    for (AutoCloseable each : resources) {
      each.close();
    }
    resources.clear();
  }

  private <T extends AutoCloseable> T open(T resource) {
    resources.add(resource);
    return resource;
  }

  /** Returns the address of a server to which no further connection is made. */
  private String unconnectable() throws IOException {
    ServerSocket server = open(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    for (int i = 0; i < 4; i++) {
      SocketChannel channel = open(SocketChannel.open());
      channel.configureBlocking(false);
      channel.connect(address);
    }
    return "http://127.0.0.1:" + server.getLocalPort();
  }

  private ServiceResponse call(String address) {
    return Objects.requireNonNull(client)
        .call(
            new RoutedCall(
                new RequestId("id-1"),
                address,
                "POST",
                "/x",
                List.of(),
                new byte[0],
                new AttemptHandle(),
                System.nanoTime() + TimeUnit.SECONDS.toNanos(10)));
  }

  private void timeOutAt(String address) {
    AttemptFailure failure = expectThrows(AttemptFailure.class, () -> call(address));
    assertEquals(failure.kind(), FailureKind.CONNECT_FAILED);
    assertTrue(failure.isConnectTimeout(), failure.getMessage());
  }

  /** Opens a stream whose events arrive one by one until the test ends, and reads them. */
  private void startReadingStream() {
    FakeServer streaming =
        open(
            new FakeServer(
                (request, output) -> {
                  FakeServer.startStream(output, "id-1");
                  while (true) {
                    FakeServer.event(output, "e");
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
                  }
                }));
    ServiceResponse response = call(streaming.address());
    Thread reader =
        new Thread(
            () -> {
              byte[] buffer = new byte[100];
              try {
                while (response.read(buffer) >= 0) {
                  // The next event is awaited.
                }
              } catch (AttemptFailure e) {
                // The test has ended.
                return;
              }
            },
            "reader");
    reader.setDaemon(true);
    reader.start();
  }

  /** Guards against full links that are taken for lost while they carry a stream. */
  @Test
  public void timeoutsDuringStreamKeepTheLinks() throws Exception {
    startReadingStream();
    String first = unconnectable();
    String second = unconnectable();
    for (int i = 0; i < 2; i++) {
      timeOutAt(first);
      timeOutAt(second);
      assertFalse(links.areLost(), "links count as lost");
    }
    assertTrue(links.areFull(System.nanoTime()));
  }

  /** Guards against links that hang and are not noticed. */
  @Test
  public void timeoutsInSilenceLoseTheLinks() throws Exception {
    timeOutAt(unconnectable());
    assertTrue(links.areLost());
  }

  /** Guards against a loss that ends only with the next trial although a response arrives. */
  @Test
  public void streamThatGoesOnEndsTheLoss() throws Exception {
    FakeServer late =
        open(
            new FakeServer(
                (request, output) -> {
                  FakeServer.startStream(output, "id-1");
                  FakeServer.event(output, "e1");
                  LockSupport.parkNanos(4 * CONNECT_TIMEOUT.toNanos());
                  FakeServer.endStream(output);
                  return true;
                }));
    try (ServiceResponse response = call(late.address())) {
      byte[] buffer = new byte[1_000];
      response.read(buffer);
      timeOutAt(unconnectable());
      timeOutAt(unconnectable());
      assertTrue(links.areLost());
      response.read(buffer);
      assertFalse(links.areLost());
    }
  }

  /** Guards against a slow caller that reads what arrived before the links were lost. */
  @Test
  public void bytesThatArrivedBeforeAreNoSignOfLinks() throws Exception {
    FakeServer fast =
        open(
            new FakeServer(
                (request, output) -> {
                  FakeServer.send(output, 200, "X-Request-Id: id-1\r\n", "x".repeat(BODY_BYTES));
                  return FakeServer.stall();
                }));
    try (ServiceResponse response = call(fast.address())) {
      Thread slowReader =
          new Thread(
              () -> {
                byte[] buffer = new byte[BODY_BYTES / 100];
                for (int i = 0; i < 90; i++) {
                  response.read(buffer);
                  LockSupport.parkNanos(CONNECT_TIMEOUT.toNanos() / 30);
                }
              },
              "slow-reader");
      LockSupport.parkNanos(CONNECT_TIMEOUT.toNanos());
      slowReader.start();
      timeOutAt(unconnectable());
      timeOutAt(unconnectable());
      slowReader.join();
      assertTrue(links.areLost());
    }
  }
}
