package org.teaseltrestle.node.carry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.relay.AttemptDeadlines;
import org.teaseltrestle.policy.ServerLinks;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CarriedBodyPart;
import org.teaseltrestle.wire.CarriedCallRequest;
import org.teaseltrestle.wire.CarriedCallReservation;
import org.teaseltrestle.wire.CarriedCallReservation.Outcome;
import org.teaseltrestle.wire.CarriedCallStep;
import org.teaseltrestle.wire.Envelope;

/**
 * Carries attempts of other instances over connections of this one, as many at once as the settings
 * allow and never over a third instance.
 */
public final class CarryService implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(CarryService.class);
  private static final long IDLE_SECONDS = 10;
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Copies of a body that are held while its parts arrive. */
  private static final int COPIES_OF_BODY = 2;

  private final PeerTransport transport;
  private final RoutedClient own;
  private final ServerLinks links;
  private final ByteBudget memory;
  private final int maximumCalls;
  private final MonotonicClock clock;
  private final MetricRegistry metrics;
  private final Counter accepted;
  private final AttemptDeadlines deadlines;
  private final Map<CallKey, CarriedCall> calls = new ConcurrentHashMap<>();
  private final ThreadPoolExecutor threads;
  private volatile boolean leaving;

  /** A call of one process; process starts number their calls independently. */
  private record CallKey(long boot, long call) {}

  /**
   * Creates a service; {@link #start()} starts it.
   *
   * @param own sends attempts over connections of this instance only
   * @param memory bytes that the bodies of carried attempts may hold together
   * @param maximumCalls attempts that are carried at once
   */
  public CarryService(
      PeerTransport transport,
      RoutedClient own,
      ServerLinks links,
      ByteBudget memory,
      int maximumCalls,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.transport = transport;
    this.own = own;
    this.links = links;
    this.memory = memory;
    this.maximumCalls = maximumCalls;
    this.clock = clock;
    this.metrics = metrics;
    this.accepted = metrics.counter("carry.accepted");
    this.deadlines = new AttemptDeadlines(clock);
    this.threads =
        new ThreadPoolExecutor(
            0,
            2 * maximumCalls,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            new DaemonThreads("carry"));
  }

  /** Begins to receive the messages of other instances. */
  public void start() {
    transport.register(CarryMessage.SERVICE, this::onMessage);
  }

  /** Accepts no more attempts; those that were accepted go on. */
  public void leave() {
    leaving = true;
  }

  /** Waits until no attempt is carried, or until a monotonic time. */
  public void awaitEnd(long deadlineNanos) {
    while (!calls.isEmpty() && clock.nowNanos() - deadlineNanos < 0) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  @Override
  public void close() {
    leaving = true;
    calls.values().forEach(CarriedCall::cancel);
    threads.shutdownNow();
    deadlines.close();
  }

  private void onMessage(Envelope message, Consumer<byte[]> reply) {
    CarryMessage kind = CarryMessage.of(message.getKind()).orElse(null);
    if (kind == null) {
      return;
    }
    try {
      switch (kind) {
        case RESERVE -> {
          CarriedCallRequest request = CarriedCallRequest.parseFrom(message.getBody());
          reply(reply, reserve(message, request));
        }
        case BODY -> {
          CarriedBodyPart part = CarriedBodyPart.parseFrom(message.getBody());
          CarriedCall call = find(message, part.getCall());
          boolean added = call != null && call.addBody(part.getData());
          reply(reply, added ? Outcome.ACCEPTED : Outcome.UNKNOWN_CALL);
        }
        case START, READ -> {
          CarriedCallStep step = CarriedCallStep.parseFrom(message.getBody());
          CarriedCall call = find(message, step.getCall());
          if (call == null) {
            CarriedCall.rejectStep(reply);
          } else {
            threads.execute(
                kind == CarryMessage.START ? () -> call.start(reply) : () -> call.read(reply));
          }
        }
        case CANCEL -> {
          CarriedCallStep step = CarriedCallStep.parseFrom(message.getBody());
          CarriedCall call = find(message, step.getCall());
          if (call != null) {
            call.cancel();
          }
        }
        default -> throw new IllegalArgumentException(kind.name());
      }
    } catch (InvalidProtocolBufferException e) {
      LOG.warn(
          CarryEvent.MALFORMED_MESSAGE,
          "sender",
          message.getSenderInstance(),
          "cause",
          String.valueOf(e.getMessage()));
    }
  }

  private void reply(Consumer<byte[]> reply, Outcome outcome) {
    reply.accept(CarriedCallReservation.newBuilder().setOutcome(outcome).build().toByteArray());
  }

  private @Nullable CarriedCall find(Envelope message, long call) {
    return calls.get(new CallKey(message.getSenderBoot(), call));
  }

  private Outcome reserve(Envelope message, CarriedCallRequest request) {
    Outcome outcome = reserveIfPossible(message, request);
    if (outcome == Outcome.ACCEPTED) {
      accepted.inc();
    } else {
      metrics.counter("carry.refused." + outcome.name().toLowerCase(Locale.ROOT)).inc();
      LOG.info(
          CarryEvent.RESERVATION_REFUSED,
          "request",
          request.getRequest(),
          "sender",
          message.getSenderInstance(),
          "outcome",
          outcome,
          "carrying",
          calls.size());
    }
    return outcome;
  }

  private Outcome reserveIfPossible(Envelope message, CarriedCallRequest request) {
    if (leaving) {
      return Outcome.LEAVING;
    }
    if (links.areLost() || links.areFull(clock.nowNanos())) {
      return Outcome.NO_LINKS;
    }
    if (calls.size() >= maximumCalls) {
      return Outcome.BUSY;
    }
    ByteBudget.Reservation bytes = memory.open();
    if (!bytes.tryAdd(COPIES_OF_BODY * request.getBodyBytes())) {
      return Outcome.BUSY;
    }
    CallKey key = new CallKey(message.getSenderBoot(), request.getCall());
    CarriedCall call =
        new CarriedCall(
            request,
            message.getSenderInstance(),
            own,
            clock,
            deadlines,
            bytes,
            () -> calls.remove(key));
    calls.put(key, call);
    return Outcome.ACCEPTED;
  }
}
