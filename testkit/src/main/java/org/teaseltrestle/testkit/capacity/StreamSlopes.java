package org.teaseltrestle.testkit.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.capacity.Slope.Projection;

/**
 * Slopes of token streams over loopback sockets. For each stream, one thread reads each chunk from
 * one socket and writes it to another, as a relay thread does. The cost of these socket operations
 * is the minimum cost of a relay.
 */
final class StreamSlopes {

  /** A chunk with one token as the fake engine writes it, with HTTP chunk framing. */
  static final String CHUNK =
      "c1\r\ndata: {\"id\":\"0123456789abcdef0123456789abcdef\",\"object\":"
          + "\"chat.completion.chunk\",\"model\":\"model-1\",\"trestle_token_index\":123,"
          + "\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token123\"},"
          + "\"finish_reason\":null}]}\n\n\r\n";

  private static final int CHUNKS_PER_STREAM = 40;
  private static final double CHUNKS_PER_SECOND = 9_100.0 * 200 / States.NODES;

  private StreamSlopes() {}

  static List<Slope> all() {
    return List.of(
        new Slope(
            "processor: chunks through stand-in streams",
            "ns/chunk",
            size -> relayProcessorNanos(size / CHUNKS_PER_STREAM),
            List.of(1_280, 2_560, 5_120),
            List.of(
                Projection.events(
                    "entry node", "4,333 chunks a second", CHUNKS_PER_SECOND, Bound.NONE))),
        new Slope(
            "bytes: chunks of streams",
            "B/chunk",
            size -> (double) size * CHUNK.getBytes(StandardCharsets.UTF_8).length,
            List.of(1_280, 2_560, 5_120),
            List.of(
                new Projection(
                    "entry node",
                    "4,333 chunks a second, in, and as many out",
                    CHUNKS_PER_SECOND,
                    1,
                    Bound.NONE))));
  }

  /** Returns the total processor time of the relaying threads, in nanoseconds. */
  private static double relayProcessorNanos(int streams) throws IOException, InterruptedException {
    LongAdder nanos = new LongAdder();
    AtomicReference<@Nullable Throwable> failure = new AtomicReference<>();
    List<Thread> threads = new ArrayList<>();
    try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < streams; i++) {
        Socket source = connect(listener);
        final Socket engineSide = listener.accept();
        Socket sink = connect(listener);
        final Socket callerSide = listener.accept();
        threads.add(newThread(() -> send(engineSide), failure));
        threads.add(newThread(() -> nanos.add(relay(source, callerSide)), failure));
        threads.add(newThread(() -> drain(sink), failure));
      }
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    Throwable thrownFailure = failure.get();
    if (thrownFailure != null) {
      throw new IllegalStateException("a loopback stream failed", thrownFailure);
    }
    return nanos.sum();
  }

  private static Socket connect(ServerSocket listener) throws IOException {
    Socket socket = new Socket(listener.getInetAddress(), listener.getLocalPort());
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static Thread newThread(Runnable work, AtomicReference<@Nullable Throwable> failure) {
    Thread thread = new Thread(work, "stand-in-stream");
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler((owner, thrown) -> failure.set(thrown));
    return thread;
  }

  private static void send(Socket target) {
    byte[] chunk = CHUNK.getBytes(StandardCharsets.UTF_8);
    try (target) {
      OutputStream output = target.getOutputStream();
      for (int i = 0; i < CHUNKS_PER_STREAM; i++) {
        output.write(chunk);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long relay(Socket from, Socket to) {
    int length = CHUNK.getBytes(StandardCharsets.UTF_8).length;
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int i = 0; i < CHUNKS_PER_STREAM; i++) {
        output.write(input.readNBytes(length));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return Meter.threadProcessorNanos();
  }

  private static void drain(Socket from) {
    try (from) {
      from.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
