package org.teaseltrestle.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.LoggerFactory;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what a transport tells about its messages. */
public final class TransportStatisticsTest {

  private static NettyPeerTransport open(Closer closer, String instance) {
    return closer.register(
        new NettyPeerTransport(
            TransportConfiguration.builder()
                .instance(new InstanceId(instance))
                .boot(1)
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .build(),
            MonotonicClock.SYSTEM));
  }

  /** Guards against traffic between nodes that no metric shows. */
  public static final class CountersTest {

    private final Closer closer = new Closer();

    /** Closes the transports of the test. */
    @AfterMethod
    public void close() {
      closer.close();
    }

    @Test
    public void bothEndsCountTheSameBytesByKind() throws Exception {
      NettyPeerTransport server = open(closer, "server");
      server.register("echo", (message, reply) -> reply.accept(message.getBody().toByteArray()));
      NettyPeerTransport client = open(closer, "client");
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      client.call(server.localAddress(), "echo", 3, new byte[1_000], deadline).get();
      client.call(server.localAddress(), "echo", 4, new byte[5_000], deadline).get();
      client.call(server.localAddress(), "echo", 4, new byte[5_000], deadline).get();
      awaitNothingWaits(client);
      awaitNothingWaits(server);

      assertEquals(kind(client, "echo.3").sentMessages(), 1);
      assertEquals(kind(client, "echo.4").sentMessages(), 2);
      assertTrue(kind(client, "echo.4").sentBytes() > 10_000);
      for (String name : List.of("echo.3", "echo.4")) {
        assertEquals(kind(server, name).receivedBytes(), kind(client, name).sentBytes());
      }
      assertEquals(kind(server, "answer").sentMessages(), 3);
      assertEquals(kind(client, "answer").receivedBytes(), kind(server, "answer").sentBytes());
    }

    @Test
    public void numberOfKindsIsBounded() throws Exception {
      NettyPeerTransport server = open(closer, "server");
      server.register("echo", (message, reply) -> reply.accept(new byte[0]));
      NettyPeerTransport client = open(closer, "client");
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      for (int kind = 0; kind < 100; kind++) {
        client.call(server.localAddress(), "echo", kind, new byte[0], deadline).get();
      }
      awaitNothingWaits(client);
      assertEquals(kinds(client).size(), 64 + 3);
      assertEquals(kind(client, "other").sentMessages(), 36);
    }

    @Test
    public void messagesToAnUnreachablePeerAreCountedAsDropped() throws Exception {
      NettyPeerTransport client = open(closer, "client");
      InetSocketAddress peer;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        peer = (InetSocketAddress) socket.getLocalSocketAddress();
      }
      TransportStatistics statistics = client.statistics();
      assertTrue(client.send(peer, "log", 1, new byte[1_000]));
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (statistics.dropped(DropReason.CONNECTION_LOST) == 0
          && System.nanoTime() - deadline < 0) {
        Thread.onSpinWait();
      }
      assertEquals(statistics.dropped(DropReason.CONNECTION_LOST), 1);
      awaitNothingWaits(client);
      while (client.send(peer, "log", 1, new byte[1_000]) && System.nanoTime() - deadline < 0) {
        Thread.onSpinWait();
      }
      long refused =
          statistics.dropped(DropReason.NO_CONNECTION) + statistics.dropped(DropReason.QUEUE_FULL);
      assertEquals(refused, 1);
    }

    private static List<MessageStatistics> kinds(NettyPeerTransport transport) {
      List<MessageStatistics> kinds = new ArrayList<>();
      transport.statistics().forEachKind(kinds::add);
      return kinds;
    }

    private static MessageStatistics kind(NettyPeerTransport transport, String name) {
      return kinds(transport).stream()
          .filter(kind -> kind.name().equals(name))
          .findFirst()
          .orElseThrow();
    }

    // The response may be there before the future of its request is completed.
    private static void awaitNothingWaits(NettyPeerTransport transport) {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (transport.statistics().waitingBytes() != 0 && System.nanoTime() - deadline < 0) {
        Thread.onSpinWait();
      }
      assertEquals(transport.statistics().waitingBytes(), 0);
    }
  }

  /** Guards against a line for each dropped message, and against losses that no line shows. */
  public static final class DropLogTest {

    private final Logger logger = (Logger) LoggerFactory.getLogger(DropLog.class);
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

    /** Collects the lines. */
    @BeforeMethod
    public void collect() {
      lines.list.clear();
      lines.start();
      logger.addAppender(lines);
    }

    /** Ends the collection. */
    @AfterMethod
    public void stop() {
      logger.detachAppender(lines);
    }

    @Test
    public void beginningAndEndAreOneLineEach() {
      AtomicLong now = new AtomicLong();
      DropLog log = new DropLog(now::get);
      for (int millis = 0; millis < 3_000; millis++) {
        log.dropped(peer(1), DropReason.CONNECTION_FULL, "follow.3");
        now.addAndGet(1_000_000);
        log.writeDueLines();
      }
      assertEquals(lines.list.size(), 1);
      assertTrue(
          line(0).startsWith("E2009 ") && line(0).endsWith("reason=CONNECTION_FULL kind=follow.3"),
          line(0));
      now.addAndGet(DropLog.INTERVAL_NANOS);
      log.writeDueLines();
      log.writeDueLines();
      assertEquals(lines.list.size(), 2);
      assertTrue(line(1).startsWith("E2010 ") && line(1).contains("dropped=3000"), line(1));
    }

    @Test
    public void linesForAllPeersAreBoundedAndNoneIsForgotten() {
      AtomicLong now = new AtomicLong();
      DropLog log = new DropLog(now::get);
      for (int peer = 1; peer <= 88; peer++) {
        log.dropped(peer(peer), DropReason.NO_CONNECTION, "raft.1");
      }
      for (int second = 0; second < 20; second++) {
        int before = lines.list.size();
        for (int tick = 0; tick < 4; tick++) {
          log.writeDueLines();
          now.addAndGet(DropLog.INTERVAL_NANOS / 4);
        }
        assertFalse(lines.list.size() - before > DropLog.MAXIMUM_LINES);
      }
      assertEquals(lines.list.stream().filter(line -> begins(line, "E2009")).count(), 88);
      assertEquals(lines.list.stream().filter(line -> begins(line, "E2010")).count(), 88);
    }

    private String line(int index) {
      return lines.list.get(index).getFormattedMessage();
    }

    private static boolean begins(ILoggingEvent line, String text) {
      return line.getFormattedMessage().startsWith(text);
    }

    private static InetSocketAddress peer(int port) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
  }
}
