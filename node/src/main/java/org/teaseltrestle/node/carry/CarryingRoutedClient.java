package org.teaseltrestle.node.carry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.CarrierChooser;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.ServerLinks;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CarriedBodyPart;
import org.teaseltrestle.wire.CarriedCallReservation;
import org.teaseltrestle.wire.CarriedCallReservation.Outcome;
import org.teaseltrestle.wire.CarriedCallStep;

/**
 * Sends attempts over connections of this instance while it has any, and otherwise has other
 * instances carry them. An attempt is carried by one instance, over that instance's own connection.
 */
public final class CarryingRoutedClient implements RoutedClient {

  private static final EventLog LOG = EventLog.of(CarryingRoutedClient.class);
  private static final int MAXIMUM_ASKED = 6;

  /** Failure domains from which a server must be unreachable before it counts as gone. */
  private static final int DOMAINS_THAT_AGREE = 2;

  private static final long RESERVATION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time after which no further instance is asked to carry an attempt. */
  private static final long ASKING_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final RoutedClient own;
  private final ServerLinks links;
  private final LinkTrials trials;
  private final CarrierDirectory carriers;
  private final PeerTransport transport;
  private final MonotonicClock clock;
  private final Counter carried;
  private final Counter withoutCarrier;
  private final Function<Outcome, Counter> refusals;
  private final AtomicLong nextCall = new AtomicLong(1);

  /**
   * Creates a client.
   *
   * @param own sends attempts over connections of this instance and records their success in {@code
   *     links}
   * @param trials tries connections while the links are lost
   */
  public CarryingRoutedClient(
      RoutedClient own,
      ServerLinks links,
      LinkTrials trials,
      CarrierDirectory carriers,
      PeerTransport transport,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.own = own;
    this.links = links;
    this.trials = trials;
    this.carriers = carriers;
    this.transport = transport;
    this.clock = clock;
    this.carried = metrics.counter("carry.sent");
    this.withoutCarrier = metrics.counter("carry.no_carrier");
    this.refusals =
        outcome ->
            metrics.counter("carry.refused_by_other." + outcome.name().toLowerCase(Locale.ROOT));
  }

  @Override
  public ServiceResponse call(RoutedCall call) {
    if (links.nextPath() == ServerLinks.Path.OWN) {
      try {
        return own.call(call);
      } catch (AttemptFailure failure) {
        boolean unsent = failure.kind() == FailureKind.CONNECT_FAILED;
        if (!unsent || call.handle().isCancelled() || !links.areLost()) {
          throw failure;
        }
      }
    }
    trials.tryIfDue(call.address());
    return carry(call);
  }

  private ServiceResponse carry(RoutedCall call) {
    Set<String> asked = new HashSet<>();
    Set<FailureDomain> unreachableFrom = new HashSet<>();
    AttemptFailure connectFailure = null;
    boolean anyBusy = false;
    CarrierChooser chooser = carriers.refreshed();
    long giveUpNanos = clock.nowNanos() + ASKING_TIMEOUT_NANOS;
    while (asked.size() < MAXIMUM_ASKED && clock.nowNanos() - giveUpNanos < 0) {
      CarrierChooser.Carrier chosen =
          chooser
              .choose(
                  asked, unreachableFrom, ThreadLocalRandom.current().nextLong(), clock.nowNanos())
              .orElse(null);
      if (chosen == null) {
        break;
      }
      String carrier = chosen.instance();
      asked.add(carrier);
      long number = nextCall.getAndIncrement();
      Outcome outcome = reserve(call, number, carrier);
      if (outcome == Outcome.ACCEPTED) {
        try {
          return start(call, number, carrier);
        } catch (AttemptFailure failure) {
          if (failure.kind() != FailureKind.CONNECT_FAILED || call.handle().isCancelled()) {
            throw failure;
          }
          // The carrier may have lost its links too, and its failure domain with it.
          connectFailure = failure;
          unreachableFrom.add(chosen.domain());
        }
        if (unreachableFrom.size() >= DOMAINS_THAT_AGREE) {
          break;
        }
        continue;
      }
      anyBusy |= outcome == Outcome.BUSY;
      chooser.refused(carrier, clock.nowNanos());
      refusals.apply(outcome).inc();
      LOG.info(
          CarryEvent.CARRIER_REFUSED,
          "request",
          call.request(),
          "carrier",
          carrier,
          "outcome",
          outcome);
    }
    if (connectFailure != null) {
      reportUnreachable(call, unreachableFrom.size());
      throw connectFailure;
    }
    withoutCarrier.inc();
    LOG.warn(
        CarryEvent.NO_CARRIER, "request", call.request(), "asked", asked.size(), "busy", anyBusy);
    if (anyBusy) {
      throw new AttemptFailure(
          FailureKind.REFUSED_BUSY, "no instance has room to carry the attempt");
    }
    return own.call(call);
  }

  /** Reserves a call and sends the body; nothing runs before the call is started. */
  private Outcome reserve(RoutedCall call, long number, String carrier) {
    InetSocketAddress address = carriers.address(carrier).orElse(null);
    if (address == null) {
      return Outcome.UNSPECIFIED;
    }
    long now = clock.nowNanos();
    long leftMillis =
        Math.max(1, TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - clock.nowNanos()));
    byte[] reservation = CarryCodec.reservation(number, call, leftMillis).toByteArray();
    Outcome outcome =
        ask(call, address, CarryMessage.RESERVE, reservation, now + RESERVATION_TIMEOUT_NANOS);
    byte[] body = call.body();
    for (int sent = CarryCodec.PART_BYTES;
        sent < body.length && outcome == Outcome.ACCEPTED;
        sent += CarryCodec.PART_BYTES) {
      byte[] part =
          CarriedBodyPart.newBuilder()
              .setCall(number)
              .setData(
                  ByteString.copyFrom(
                      body, sent, Math.min(CarryCodec.PART_BYTES, body.length - sent)))
              .build()
              .toByteArray();
      outcome = ask(call, address, CarryMessage.BODY, part, call.deadlineNanos());
    }
    if (outcome == Outcome.UNSPECIFIED) {
      // An answer that is late may have been an acceptance, which would hold a place.
      transport.send(address, CarryMessage.SERVICE, CarryMessage.CANCEL.kind(), step(number));
    }
    return outcome;
  }

  private static byte[] step(long number) {
    return CarriedCallStep.newBuilder().setCall(number).build().toByteArray();
  }

  private Outcome ask(
      RoutedCall call,
      InetSocketAddress carrier,
      CarryMessage message,
      byte[] body,
      long deadlineNanos) {
    CompletableFuture<byte[]> answer =
        transport.call(carrier, CarryMessage.SERVICE, message.kind(), body, deadlineNanos);
    call.handle().onCancel(() -> answer.cancel(false));
    try {
      long waitNanos = Math.max(0, deadlineNanos - clock.nowNanos());
      return CarriedCallReservation.parseFrom(answer.get(waitNanos, TimeUnit.NANOSECONDS))
          .getOutcome();
    } catch (CancellationException e) {
      throw new AttemptFailure(
          call.handle().isExpired() ? FailureKind.CONNECT_FAILED : FailureKind.CANCELLED,
          "attempt ended before an instance had accepted it");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AttemptFailure(FailureKind.CANCELLED, "interrupted");
    } catch (ExecutionException | TimeoutException | InvalidProtocolBufferException e) {
      // The instance is gone, cut off or of another version; the caller logs the outcome.
      return Outcome.UNSPECIFIED;
    }
  }

  private ServiceResponse start(RoutedCall call, long number, String carrier) {
    CarrierChooser chooser = carriers.chooser();
    chooser.accepted(carrier, clock.nowNanos());
    carried.inc();
    LOG.info(
        CarryEvent.ATTEMPT_CARRIED,
        "request",
        call.request(),
        "server",
        call.address(),
        "carrier",
        carrier,
        "call",
        number);
    CarriedResponse response =
        new CarriedResponse(
            transport,
            carriers.address(carrier).orElseThrow(),
            number,
            call,
            clock,
            () -> chooser.ended(carrier, clock.nowNanos()));
    response.start();
    links.reachedByOther();
    return response;
  }

  /** A server counts as gone only if instances of several failure domains do not reach it. */
  private void reportUnreachable(RoutedCall call, int failureDomains) {
    if (failureDomains >= DOMAINS_THAT_AGREE
        && links.unreachableForOther(call.address(), clock.nowNanos())) {
      LOG.info(CarryEvent.LINKS_SOUND, "unreachableForOthers", call.address());
    }
  }
}
