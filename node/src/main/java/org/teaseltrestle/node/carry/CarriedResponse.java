package org.teaseltrestle.node.carry;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CarriedCallStep;
import org.teaseltrestle.wire.CarriedResponseHead;
import org.teaseltrestle.wire.CarriedResponsePart;

/**
 * Response to an attempt that another instance makes. Each part is asked for once the one before it
 * has been read, so a slow caller slows the backend server down as over an own connection.
 */
final class CarriedResponse implements ServiceResponse {

  private static final EventLog LOG = EventLog.of(CarriedResponse.class);

  /** Longest time between two parts; the deadline of the attempt ends it before. */
  private static final long STEP_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(5);

  private final PeerTransport transport;
  private final InetSocketAddress carrier;
  private final RoutedCall call;
  private final byte[] step;
  private final MonotonicClock clock;
  private final Runnable onEnd;
  private CarriedResponseHead head = CarriedResponseHead.getDefaultInstance();
  private byte[] data = new byte[0];
  private int position;
  private boolean ended;
  private boolean closed;

  /**
   * Creates the response to a reserved call; {@link #start()} starts the call.
   *
   * @param onEnd called once when the call has ended
   */
  CarriedResponse(
      PeerTransport transport,
      InetSocketAddress carrier,
      long number,
      RoutedCall call,
      MonotonicClock clock,
      Runnable onEnd) {
    this.transport = transport;
    this.carrier = carrier;
    this.call = call;
    this.step = CarriedCallStep.newBuilder().setCall(number).build().toByteArray();
    this.clock = clock;
    this.onEnd = onEnd;
  }

  /**
   * Starts the call and waits for the head of the response.
   *
   * @throws AttemptFailure if there is none; its kind states whether the request may have run
   */
  void start() {
    head = next(CarryMessage.START, FailureKind.LOST_BEFORE_ANSWER).getHead();
    if (!CarryCodec.isSound(head)) {
      close();
      throw new AttemptFailure(
          FailureKind.MALFORMED_ANSWER,
          "instance passed on a malformed head with status " + head.getStatus());
    }
  }

  @Override
  public int status() {
    return head.getStatus();
  }

  @Override
  public List<HeaderField> headers() {
    return CarryCodec.headers(head.getHeadersList());
  }

  @Override
  public ResponseFraming framing() {
    return CarryCodec.framing(head);
  }

  @Override
  public int read(byte[] buffer) {
    while (position == data.length && !ended) {
      CarriedResponsePart part = next(CarryMessage.READ, FailureKind.LOST_DURING_ANSWER);
      data = part.getData().toByteArray();
      position = 0;
      ended = part.getEnds();
    }
    if (position == data.length) {
      return -1;
    }
    int count = Math.min(buffer.length, data.length - position);
    System.arraycopy(data, position, buffer, 0, count);
    position += count;
    return count;
  }

  /** Ends the call; the carrier cancels the attempt unless it has ended. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (!ended) {
      cancelAtCarrier();
    }
    onEnd.run();
  }

  private CarriedResponsePart next(CarryMessage message, FailureKind ifLost) {
    CarriedResponsePart part;
    try {
      part =
          CarriedResponsePart.parseFrom(
              await(
                  transport.call(
                      carrier,
                      CarryMessage.SERVICE,
                      message.kind(),
                      step,
                      clock.nowNanos() + STEP_TIMEOUT_NANOS)));
    } catch (InvalidProtocolBufferException | ExecutionException e) {
      throw lost(ifLost, e);
    } catch (CancellationException e) {
      close();
      throw new AttemptFailure(
          call.handle().isExpired() ? FailureKind.TIMED_OUT : FailureKind.CANCELLED,
          "carried attempt was cancelled");
    }
    if (part.hasFailure()) {
      ended = true;
      close();
      throw CarryCodec.failure(part.getFailure());
    }
    return part;
  }

  private AttemptFailure lost(FailureKind kind, Exception cause) {
    LOG.warn(
        CarryEvent.CARRIER_LOST,
        "request",
        call.request(),
        "server",
        call.address(),
        "carrier",
        carrier,
        "cause",
        String.valueOf(cause.getMessage()));
    close();
    return new AttemptFailure(kind, "instance that carried the attempt was lost");
  }

  private byte[] await(CompletableFuture<byte[]> answer) throws ExecutionException {
    AttemptHandle handle = call.handle();
    handle.onCancel(() -> answer.cancel(false));
    try {
      return answer.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw interrupted(e);
    }
  }

  private static CancellationException interrupted(InterruptedException cause) {
    CancellationException cancellation = new CancellationException("interrupted");
    cancellation.initCause(cause);
    return cancellation;
  }

  private void cancelAtCarrier() {
    transport.send(carrier, CarryMessage.SERVICE, CarryMessage.CANCEL.kind(), step);
  }

  /** Returns the part of a response that says that an attempt failed. */
  static CarriedResponsePart failed(AttemptFailure failure) {
    return CarriedResponsePart.newBuilder().setFailure(CarryCodec.failureMessage(failure)).build();
  }
}
