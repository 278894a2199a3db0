package org.teaseltrestle.transport;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against connections that are closed, and messages that are lost, on a slow link. */
public final class SlowLinkTest {

  private static final int MESSAGE_BYTES = 8 << 20;

  private final Closer closer = new Closer();

  /** Closes the transports and the link of the test. */
  @AfterMethod
  public void close() {
    closer.close();
  }

  @Test
  public void messageThatTakesLongerThanTheProbesArrivesOnItsFirstConnection() throws Exception {
    NettyPeerTransport server = open("server");
    CompletableFuture<Integer> received = new CompletableFuture<>();
    server.register("feed", (message, reply) -> received.complete(message.getBody().size()));
    SlowLink link = closer.register(new SlowLink(server.localAddress()));
    NettyPeerTransport client = open("client");
    client.send(link.address(), "feed", 1, new byte[MESSAGE_BYTES]);
    assertEquals((int) received.get(20, TimeUnit.SECONDS), MESSAGE_BYTES);
    assertEquals(link.connections(), 1);
    assertEquals(client.statistics().dropped(DropReason.CONNECTION_LOST), 0);
  }

  private NettyPeerTransport open(String instance) {
    return closer.register(
        new NettyPeerTransport(
            TransportConfiguration.builder()
                .instance(new InstanceId(instance))
                .boot(1)
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .maximumWaitingBytes(8L * MESSAGE_BYTES)
                .build(),
            MonotonicClock.SYSTEM));
  }

  /** Forwards connections to a server, at most 2 MB a second towards it. */
  private static final class SlowLink implements AutoCloseable {

    private static final int PIECE_BYTES = 50_000;
    private static final long PIECE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private final InetSocketAddress server;
    private final ServerSocket listener = new ServerSocket();
    private final DaemonThreads threads = new DaemonThreads("slow-link");
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();

    SlowLink(InetSocketAddress server) throws IOException {
      this.server = server;
      listener.setReceiveBufferSize(PIECE_BYTES);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      threads.newThread(this::accept).start();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    int connections() {
      return accepted.size();
    }

    @Override
    public void close() {
      try {
        listener.close();
        for (Socket socket : accepted) {
          socket.close();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket near = listener.accept();
          accepted.add(near);
          Socket far = new Socket(server.getAddress(), server.getPort());
          threads.newThread(() -> forward(near, far, PIECE_NANOS)).start();
          threads.newThread(() -> forward(far, near, 0)).start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void forward(Socket source, Socket target, long pieceNanos) {
      byte[] piece = new byte[PIECE_BYTES];
      try (source;
          target) {
        InputStream input = source.getInputStream();
        OutputStream output = target.getOutputStream();
        for (int read = input.read(piece); read >= 0; read = input.read(piece)) {
          output.write(piece, 0, read);
          LockSupport.parkNanos(pieceNanos * read / PIECE_BYTES);
        }
      } catch (IOException e) {
        // One of the sides was closed, which closes the other one.
      }
    }
  }
}
