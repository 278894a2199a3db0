package org.teaseltrestle.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.Envelope;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests of the bytes that wait in one process for all its peers. */
public final class WaitingBytesTest {

  private static final int BOUND = 8 << 20;
  private static final int LARGE_MESSAGE = 400_000;
  private static final int SILENT_PEERS = 88;

  private static TransportConfiguration.Builder configuration(String instance) {
    return TransportConfiguration.builder()
        .instance(new InstanceId(instance))
        .boot(1)
        .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .maximumWaitingBytes(BOUND);
  }

  private static NettyPeerTransport open(Closer closer, TransportConfiguration.Builder builder) {
    return closer.register(new NettyPeerTransport(builder.build(), MonotonicClock.SYSTEM));
  }

  /** A peer that accepts connections and never reads from them. */
  private static InetSocketAddress silentPeer(Closer closer) throws IOException {
    // The kernel completes connections up to the backlog without a call of accept.
    ServerSocket socket = new ServerSocket();
    closer.register(() -> close(socket));
    socket.setReceiveBufferSize(4_096);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long deadline() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
  }

  private static void awaitNothingWaits(NettyPeerTransport transport) {
    long deadline = deadline();
    while (transport.statistics().waitingBytes() != 0 && System.nanoTime() - deadline < 0) {
      Thread.onSpinWait();
    }
    assertEquals(transport.statistics().waitingBytes(), 0);
  }

  /** Guards against peers that do not read and together exhaust the memory of a process. */
  public static final class SilentPeersTest {

    private final Closer closer = new Closer();

    /** Closes the transports and sockets of the test. */
    @AfterMethod
    public void close() {
      closer.close();
    }

    @Test
    public void messagesToManySilentPeersStayBelowTheBoundAndSmallOnesPass() throws Exception {
      NettyPeerTransport server = open(closer, configuration("server"));
      server.register("vote", (message, reply) -> reply.accept(new byte[100]));
      NettyPeerTransport client = open(closer, configuration("client"));
      client
          .call(server.localAddress(), "vote", 1, new byte[100], deadline())
          .get(20, TimeUnit.SECONDS);
      List<InetSocketAddress> peers = new ArrayList<>();
      for (int i = 0; i < SILENT_PEERS; i++) {
        peers.add(silentPeer(closer));
      }
      byte[] large = new byte[LARGE_MESSAGE];
      long most = 0;
      for (int round = 0; round < 10; round++) {
        for (InetSocketAddress peer : peers) {
          client.send(peer, "follow", 3, large);
          most = Math.max(most, client.statistics().waitingBytes());
        }
        client
            .call(server.localAddress(), "vote", 1, new byte[100], deadline())
            .get(20, TimeUnit.SECONDS);
      }
      assertTrue(most <= BOUND, "bytes that waited for all peers: " + most);
      assertTrue(most > BOUND / 2, "bytes that waited for all peers: " + most);
      assertTrue(client.statistics().dropped(DropReason.PROCESS_FULL) > 0);
    }

    @Test
    public void responsesToPeersThatDoNotReadStayBelowTheBound() throws Exception {
      NettyPeerTransport server = open(closer, configuration("server"));
      server.register("state", (message, reply) -> reply.accept(new byte[LARGE_MESSAGE]));
      List<SilentCaller> callers = new ArrayList<>();
      for (int i = 0; i < SILENT_PEERS; i++) {
        callers.add(closer.register(new SilentCaller(server.localAddress())));
      }
      long most = 0;
      for (int i = 0; i < 10; i++) {
        for (SilentCaller caller : callers) {
          caller.call("state");
          most = Math.max(most, server.statistics().waitingBytes());
        }
      }
      long deadline = deadline();
      while (server.statistics().dropped(DropReason.PROCESS_FULL) == 0
          && System.nanoTime() - deadline < 0) {
        most = Math.max(most, server.statistics().waitingBytes());
      }
      assertTrue(most <= BOUND, "bytes that waited for all peers: " + most);
      assertTrue(server.statistics().dropped(DropReason.PROCESS_FULL) > 0);
    }
  }

  /** Guards against a limit that stops single large messages, or small ones beside them. */
  public static final class LimitTest {

    private final Closer closer = new Closer();

    /** Closes the transports and sockets of the test. */
    @AfterMethod
    public void close() {
      closer.close();
    }

    @Test
    public void largeMessagePassesAloneAndSmallOnesPassBesideIt() throws Exception {
      NettyPeerTransport client = open(closer, configuration("client"));
      InetSocketAddress peer = silentPeer(closer);
      assertTrue(client.send(peer, "follow", 3, new byte[BOUND / 2]));
      assertFalse(client.send(peer, "follow", 3, new byte[LARGE_MESSAGE]));
      assertEquals(client.statistics().dropped(DropReason.CONNECTION_FULL), 1);
      assertTrue(client.send(peer, "raft", 1, new byte[10_000]));
    }

    @Test
    public void messageLargerThanThePartOfLargeOnesIsRefused() throws Exception {
      NettyPeerTransport client = open(closer, configuration("client"));
      InetSocketAddress peer = silentPeer(closer);
      assertFalse(client.send(peer, "follow", 3, new byte[BOUND - (BOUND / 8)]));
      assertEquals(client.statistics().dropped(DropReason.PROCESS_FULL), 1);
      assertEquals(client.statistics().waitingBytes(), 0);
      assertTrue(client.send(peer, "follow", 3, new byte[BOUND / 2]));
    }
  }

  /** Guards against bytes that are never given back, which would stop all messages in the end. */
  public static final class ReleaseTest {

    private static final int SEEDS = 5;
    private static final int STEPS = 1_500;

    private final Closer closer = new Closer();

    /** Closes the transports and sockets of the test. */
    @AfterMethod
    public void close() {
      closer.close();
    }

    @Test
    public void nothingWaitsAfterConnectionsWereOpenedAndBrokenAtRandom() throws Exception {
      for (long seed = 1; seed <= SEEDS; seed++) {
        runRandomSteps(new Random(seed), "seed " + seed);
      }
    }

    @Test
    public void nothingWaitsAfterTheTransportIsClosed() throws Exception {
      NettyPeerTransport client = open(closer, configuration("client"));
      List<InetSocketAddress> peers =
          List.of(silentPeer(closer), silentPeer(closer), unreachablePeer());
      for (int i = 0; i < 10; i++) {
        for (InetSocketAddress peer : peers) {
          client.send(peer, "follow", 3, new byte[LARGE_MESSAGE]);
        }
      }
      client.close();
      assertEquals(client.statistics().waitingBytes(), 0);
      assertFalse(client.send(peers.get(0), "follow", 3, new byte[LARGE_MESSAGE]));
      assertEquals(client.statistics().waitingBytes(), 0);
    }

    private void runRandomSteps(Random random, String description) throws Exception {
      NettyPeerTransport client = open(closer, configuration("client"));
      List<NettyPeerTransport> servers = new ArrayList<>();
      List<InetSocketAddress> silentPeers = new ArrayList<>();
      InetSocketAddress unreachable = unreachablePeer();
      for (int step = 0; step < STEPS; step++) {
        int action = random.nextInt(100);
        if (action < 3 || servers.isEmpty()) {
          servers.add(openEcho());
        } else if (action < 6) {
          servers.remove(random.nextInt(servers.size())).close();
        } else if (action < 7 || silentPeers.isEmpty()) {
          silentPeers.add(silentPeer(closer));
        } else {
          List<InetSocketAddress> peers = new ArrayList<>(silentPeers);
          servers.forEach(server -> peers.add(server.localAddress()));
          peers.add(unreachable);
          InetSocketAddress peer = peers.get(random.nextInt(peers.size()));
          byte[] body = new byte[random.nextInt(4) == 0 ? LARGE_MESSAGE : random.nextInt(2_000)];
          if (random.nextBoolean()) {
            client.send(peer, "echo", 1, body);
          } else {
            client.call(peer, "echo", 1, body, deadline());
          }
        }
        assertTrue(client.statistics().waitingBytes() <= BOUND, description);
      }
      // Connections to silent peers end when their probes are not answered.
      awaitNothingWaits(client);
      for (NettyPeerTransport server : servers) {
        awaitNothingWaits(server);
        server.close();
      }
      client.close();
      assertEquals(client.statistics().largestWaitingBytes(), 0, description);
    }

    private NettyPeerTransport openEcho() {
      NettyPeerTransport server = open(closer, configuration("server"));
      server.register("echo", (message, reply) -> reply.accept(message.getBody().toByteArray()));
      return server;
    }

    private static InetSocketAddress unreachablePeer() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
      }
    }
  }

  /** Calls over a connection from which it never reads. */
  private static final class SilentCaller implements AutoCloseable {

    private final Socket socket = new Socket();
    private long correlation;

    SilentCaller(InetSocketAddress server) throws IOException {
      socket.setReceiveBufferSize(4_096);
      socket.connect(server, 20_000);
    }

    void call(String service) throws IOException {
      correlation++;
      Envelope envelope =
          Envelope.newBuilder().setService(service).setCorrelation(correlation).build();
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeInt(envelope.getSerializedSize());
      envelope.writeTo(output);
      output.flush();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
