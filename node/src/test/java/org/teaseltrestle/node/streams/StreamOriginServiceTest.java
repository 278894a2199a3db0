package org.teaseltrestle.node.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.transport.NettyPeerTransport;
import org.teaseltrestle.transport.TransportConfiguration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that what began a stream is known at all entry nodes. */
public final class StreamOriginServiceTest {

  private static final StreamOrigin ORIGIN = new StreamOrigin(new PoolId("pool"), "v1");
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** An entry node waits no longer for control nodes that do not answer. */
  private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private Closer closer = new Closer();
  private final List<NettyPeerTransport> controlNodes = new ArrayList<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();

  /** Starts three control nodes. */
  @BeforeMethod
  public void start() {
    closer = new Closer();
    controlNodes.clear();
    addresses.clear();
    for (int i = 0; i < 3; i++) {
      NettyPeerTransport transport = transport("control-" + i);
      new StreamOriginKeeper(transport, MonotonicClock.SYSTEM).start();
      controlNodes.add(transport);
      addresses.add(transport.localAddress());
    }
  }

  /** Stops all nodes. */
  @AfterMethod
  public void stop() {
    closer.close();
  }

  private NettyPeerTransport transport(String instance) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress free = (InetSocketAddress) socket.getLocalSocketAddress();
      socket.close();
      return closer.register(
          new NettyPeerTransport(
              TransportConfiguration.builder()
                  .instance(new InstanceId(instance))
                  .boot(1)
                  .listenAddress(free)
                  .build(),
              MonotonicClock.SYSTEM));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private StreamOriginService entryNode(String instance) {
    StreamOriginService service =
        new StreamOriginService(
            transport(instance), () -> List.copyOf(addresses), MonotonicClock.SYSTEM);
    service.start();
    return closer.register(service);
  }

  private static Optional<StreamOrigin> find(StreamOriginService service, String stream) {
    return Optional.ofNullable(service.find(stream, System.nanoTime() + TIMEOUT_NANOS).origin());
  }

  private static void awaitOrigin(StreamOriginService service, String stream) {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    Optional<StreamOrigin> found = find(service, stream);
    while (found.isEmpty() && System.nanoTime() - deadline < 0) {
      found = find(service, stream);
    }
    assertEquals(found, Optional.of(ORIGIN));
  }

  /** Guards against streams whose origin is lost with the entry node that served them. */
  @Test
  public void originOutlivesItsEntryNodeAndTwoControlNodes() {
    StreamOriginService first = entryNode("entry-0");
    first.began("yard/id-1", ORIGIN);
    awaitOrigin(entryNode("entry-1"), "yard/id-1");
    first.close();
    controlNodes.get(0).close();
    controlNodes.get(2).close();
    awaitOrigin(entryNode("entry-2"), "yard/id-1");
  }

  /** Guards against a stream that is taken up elsewhere before its origin has been passed on. */
  @Test
  public void streamThatHasJustBegunIsFoundAtOnce() {
    StreamOriginService first = entryNode("entry-0");
    StreamOriginService second = entryNode("entry-1");
    awaitConnections(first, second);
    for (int i = 0; i < 20; i++) {
      first.began("yard/new-" + i, ORIGIN);
      assertEquals(find(second, "yard/new-" + i), Optional.of(ORIGIN));
    }
  }

  private static void awaitConnections(StreamOriginService first, StreamOriginService second) {
    first.began("yard/connected", ORIGIN);
    awaitOrigin(second, "yard/connected");
  }

  /** Guards against callers that wait long for an origin that nobody knows. */
  @Test
  public void unknownOriginIsToldSoon() {
    StreamOriginService service = entryNode("entry-0");
    assertEquals(find(service, "yard/unknown"), Optional.empty());
    controlNodes.forEach(NettyPeerTransport::close);
    long begin = System.nanoTime();
    assertEquals(find(service, "yard/unknown"), Optional.empty());
    assertTrue(System.nanoTime() - begin < LONGEST_WAIT_NANOS);
  }

  /** Guards against the silence of control nodes that is taken for the answer that none knows. */
  @Test
  public void lookupIsConclusiveOnlyIfOneOfThoseThatWereToldHasAnswered() {
    StreamOriginService service = entryNode("entry-0");
    assertTrue(service.find("yard/unknown", System.nanoTime() + TIMEOUT_NANOS).conclusive());
    controlNodes.get(0).close();
    controlNodes.get(1).close();
    assertTrue(service.find("yard/unknown", System.nanoTime() + TIMEOUT_NANOS).conclusive());
    controlNodes.get(2).close();
    assertFalse(service.find("yard/unknown", System.nanoTime() + TIMEOUT_NANOS).conclusive());
  }

  /** Guards against a table that grows with each stream. */
  @Test
  public void tableForgetsOldStreamsAndThoseBeyondItsBound() {
    StreamOriginTable table = new StreamOriginTable(3, 100);
    for (int i = 0; i < 5; i++) {
      table.record("s" + i, ORIGIN, i);
    }
    assertEquals(table.size(), 3);
    assertEquals(table.find("s1", 5), Optional.empty());
    assertEquals(table.find("s2", 5), Optional.of(ORIGIN));
    table.record("s2", ORIGIN, 50);
    assertEquals(table.find("s2", 120), Optional.of(ORIGIN));
    assertEquals(table.find("s4", 120), Optional.empty());
    table.record("s9", ORIGIN, 140);
    assertEquals(table.size(), 2);
  }
}
