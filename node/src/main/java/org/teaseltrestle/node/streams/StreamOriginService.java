package org.teaseltrestle.node.streams;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.StreamLookup;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.node.port.StreamOrigins;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.StreamOriginAnswer;
import org.teaseltrestle.wire.StreamOriginQuestion;
import org.teaseltrestle.wire.StreamOriginRecord;
import org.teaseltrestle.wire.StreamOriginReport;

/**
 * Origins of streams on an entry node: keeps those of its own streams, tells the control nodes of
 * them in short rounds, and asks the control nodes for those of other entry nodes. A stream that
 * begins right before the loss of its entry node may be unknown elsewhere.
 */
public final class StreamOriginService implements StreamOrigins, AutoCloseable {

  private static final EventLog LOG = EventLog.of(StreamOriginService.class);
  private static final int RING_CAPACITY = 8_192;
  private static final int MAXIMUM_OWN_STREAMS = 16_384;

  /** Longest time for which the origin of a stream waits before it is passed on. */
  private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long IDLE_TICK_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Control nodes that are told of a stream; more would only add messages. */
  private static final int COPIES = 3;

  private final PeerTransport transport;
  private final Supplier<List<InetSocketAddress>> controlNodes;
  private final MonotonicClock clock;
  private final StreamOriginTable own =
      new StreamOriginTable(MAXIMUM_OWN_STREAMS, StreamOriginKeeper.RETENTION_NANOS);
  private final DutyThread<StreamOriginRecord> duty;
  private final List<StreamOriginRecord> unreported = new ArrayList<>();
  private long reportAtNanos;

  /**
   * Creates the service; {@link #start()} starts it.
   *
   * @param controlNodes returns the peer addresses of the control nodes
   */
  public StreamOriginService(
      PeerTransport transport,
      Supplier<List<InetSocketAddress>> controlNodes,
      MonotonicClock clock) {
    this.transport = transport;
    this.controlNodes = controlNodes;
    this.clock = clock;
    this.reportAtNanos = clock.nowNanos();
    this.duty =
        new DutyThread<>(
            StreamOriginKeeper.SERVICE,
            RING_CAPACITY,
            this::addUnreported,
            this::report,
            this::nextTickNanos,
            clock);
  }

  /** Starts to pass origins on. */
  public void start() {
    duty.start();
  }

  @Override
  public void began(String stream, StreamOrigin origin) {
    own.record(stream, origin, clock.nowNanos());
    if (!duty.offer(StreamOriginKeeper.toWire(stream, origin))) {
      LOG.warn(StreamEvent.ORIGINS_DROPPED, "stream", stream);
    }
  }

  @Override
  public StreamLookup find(String stream, long deadlineNanos) {
    long now = clock.nowNanos();
    StreamOrigin known = own.find(stream, now).orElse(null);
    if (known != null) {
      return StreamLookup.found(known);
    }
    long answerBy = Math.min(deadlineNanos - now, ANSWER_TIMEOUT_NANOS) + now;
    StreamLookup answered = ask(stream, answerBy);
    long again = clock.nowNanos() + 2 * REPORT_INTERVAL_NANOS;
    if (answered.origin() == null && answerBy - again > 0) {
      // The report of a stream that has just begun may still be on its way.
      LockSupport.parkNanos(again - clock.nowNanos());
      answered = ask(stream, answerBy);
    }
    StreamOrigin origin = answered.origin();
    if (origin != null) {
      own.record(stream, origin, clock.nowNanos());
    }
    LOG.info(
        StreamEvent.ORIGIN_ASKED,
        "stream",
        stream,
        "origin",
        origin == null ? "unknown" : origin,
        "conclusive",
        answered.conclusive(),
        "millis",
        TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - now));
    return answered;
  }

  @Override
  public void close() {
    duty.close();
  }

  private StreamLookup ask(String stream, long answerByNanos) {
    List<InetSocketAddress> asked = controlNodes.get();
    if (asked.isEmpty()) {
      return StreamLookup.unknown(false);
    }
    byte[] question = StreamOriginQuestion.newBuilder().setStream(stream).build().toByteArray();
    CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
    AtomicInteger open = new AtomicInteger(asked.size());
    AtomicInteger answered = new AtomicInteger();
    for (InetSocketAddress each : asked) {
      transport
          .call(
              each,
              StreamOriginKeeper.SERVICE,
              StreamOriginKeeper.QUESTION_KIND,
              question,
              answerByNanos)
          .handle(
              (answer, failure) -> {
                if (failure != null) {
                  return noOrigin();
                }
                answered.incrementAndGet();
                return origin(answer);
              })
          .thenAccept(
              origin -> {
                if (open.decrementAndGet() == 0 || origin.isPresent()) {
                  found.complete(origin);
                }
              });
    }
    try {
      long waitNanos = Math.max(0, answerByNanos - clock.nowNanos());
      StreamOrigin origin = found.get(waitNanos, TimeUnit.NANOSECONDS).orElse(null);
      return origin == null
          ? StreamLookup.unknown(includesInformed(answered.get(), asked.size()))
          : StreamLookup.found(origin);
    } catch (TimeoutException e) {
      return StreamLookup.unknown(includesInformed(answered.get(), asked.size()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return StreamLookup.unknown(false);
    } catch (ExecutionException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "origin of a stream could not be asked", e);
    }
  }

  /**
   * Returns whether at least one of the control nodes that were told of a stream must be among
   * those that have answered.
   */
  private static boolean includesInformed(int answered, int asked) {
    return answered > 0 && answered + Math.min(COPIES, asked) > asked;
  }

  private static Optional<StreamOrigin> noOrigin() {
    return Optional.empty();
  }

  private static Optional<StreamOrigin> origin(byte[] answer) {
    try {
      StreamOriginAnswer parsed = StreamOriginAnswer.parseFrom(answer);
      return parsed.hasStream()
          ? Optional.of(StreamOriginKeeper.fromWire(parsed.getStream()))
          : Optional.empty();
    } catch (InvalidProtocolBufferException | TrestleException e) {
      LOG.warn(StreamEvent.ORIGIN_ASKED, "reason", "malformed answer: " + e.getMessage());
      return Optional.empty();
    }
  }

  private void addUnreported(StreamOriginRecord origin) {
    if (unreported.isEmpty()) {
      reportAtNanos = clock.nowNanos() + REPORT_INTERVAL_NANOS;
    }
    unreported.add(origin);
  }

  private long nextTickNanos(long lastTickNanos) {
    return unreported.isEmpty() ? lastTickNanos + IDLE_TICK_NANOS : reportAtNanos;
  }

  private void report(long nowNanos) {
    if (unreported.isEmpty()) {
      return;
    }
    byte[] report = StreamOriginReport.newBuilder().addAllStreams(unreported).build().toByteArray();
    unreported.clear();
    controlNodes.get().stream()
        .limit(COPIES)
        .forEach(
            each ->
                transport.send(
                    each, StreamOriginKeeper.SERVICE, StreamOriginKeeper.REPORT_KIND, report));
  }
}
