package org.teaseltrestle.node.carry;

import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.node.relay.AttemptDeadlines;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.wire.CarriedCallRequest;
import org.teaseltrestle.wire.CarriedResponsePart;

/**
 * One attempt that this instance makes for another one. The other instance starts it and asks for
 * one part of the response after the other; the attempt ends at its deadline in any case.
 */
final class CarriedCall {

  private static final EventLog LOG = EventLog.of(CarriedCall.class);

  private final CarriedCallRequest request;
  private final String sender;
  private final RoutedClient own;
  private final MonotonicClock clock;
  private final ByteBudget.Reservation memory;
  private final Runnable onEnd;
  private final long receivedAtNanos;
  private final long deadlineNanos;

  /** Cancels the attempt at the backend server. */
  private final AttemptHandle handle = new AttemptHandle();

  private final AttemptDeadlines.Deadline deadline;
  private final byte[] buffer = new byte[CarryCodec.PART_BYTES];
  private ByteString body;
  private @Nullable ServiceResponse response;
  private boolean stepRunning;
  private boolean ended;

  CarriedCall(
      CarriedCallRequest request,
      String sender,
      RoutedClient own,
      MonotonicClock clock,
      AttemptDeadlines deadlines,
      ByteBudget.Reservation memory,
      Runnable onEnd) {
    this.request = request.toBuilder().clearBody().build();
    this.sender = sender;
    this.own = own;
    this.clock = clock;
    this.memory = memory;
    this.onEnd = onEnd;
    this.body = request.getBody();
    this.receivedAtNanos = clock.nowNanos();
    this.deadlineNanos = receivedAtNanos + TimeUnit.MILLISECONDS.toNanos(request.getLeftMillis());
    AttemptHandle limit = new AttemptHandle();
    limit.onCancel(this::expire);
    this.deadline = deadlines.schedule(limit, deadlineNanos);
  }

  /** Adds a part of the body; returns false if it is longer than announced. */
  synchronized boolean addBody(ByteString part) {
    if (ended || body.size() + part.size() > request.getBodyBytes()) {
      return false;
    }
    body = body.concat(part);
    return true;
  }

  /** Sends the request and replies with the head of the response. */
  void start(Consumer<byte[]> reply) {
    byte[] complete;
    synchronized (this) {
      if (response != null || !beginStep()) {
        rejectStep(reply);
        return;
      }
      complete = body.toByteArray();
      body = ByteString.EMPTY;
    }
    runStep(
        reply,
        () -> {
          ServiceResponse opened =
              own.call(CarryCodec.call(request, complete, handle, deadlineNanos));
          synchronized (this) {
            response = opened;
          }
          return CarriedResponsePart.newBuilder().setHead(CarryCodec.head(opened)).build();
        });
  }

  /** Replies with the next part of the response. */
  void read(Consumer<byte[]> reply) {
    ServiceResponse opened;
    synchronized (this) {
      opened = response;
      if (opened == null || !beginStep()) {
        rejectStep(reply);
        return;
      }
    }
    runStep(
        reply,
        () -> {
          int count = opened.read(buffer);
          return count < 0
              ? CarriedResponsePart.newBuilder().setEnds(true).build()
              : CarriedResponsePart.newBuilder()
                  .setData(ByteString.copyFrom(buffer, 0, count))
                  .build();
        });
  }

  /** Cancels the attempt; its connection is closed at once. */
  void cancel() {
    handle.cancel();
    endUnlessStepRuns("cancelled");
  }

  private void expire() {
    handle.expire();
    endUnlessStepRuns("expired");
  }

  private interface Step {
    CarriedResponsePart run();
  }

  /** The call has ended meanwhile, or the steps are out of order: the attempt may have run. */
  static void rejectStep(Consumer<byte[]> reply) {
    AttemptFailure failure =
        new AttemptFailure(FailureKind.LOST_BEFORE_ANSWER, "carried call has ended");
    reply.accept(CarriedResponse.failed(failure).toByteArray());
  }

  private boolean beginStep() {
    if (ended || stepRunning) {
      return false;
    }
    stepRunning = true;
    return true;
  }

  private void runStep(Consumer<byte[]> reply, Step step) {
    CarriedResponsePart part;
    String outcome = null;
    try {
      part = step.run();
      if (part.getEnds()) {
        outcome = "answered";
      }
    } catch (AttemptFailure failure) {
      part = CarriedResponse.failed(failure);
      outcome = failure.kind().name();
    }
    synchronized (this) {
      stepRunning = false;
    }
    if (outcome != null) {
      end(outcome);
    } else if (handle.isCancelled()) {
      end("cancelled");
    }
    reply.accept(part.toByteArray());
  }

  private void endUnlessStepRuns(String outcome) {
    boolean idle;
    synchronized (this) {
      idle = !stepRunning;
    }
    // A running step fails at once, since its connection is closed, and ends the call.
    if (idle) {
      end(outcome);
    }
  }

  private void end(String outcome) {
    ServiceResponse opened;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      opened = response;
    }
    deadline.close();
    onEnd.run();
    if (opened != null) {
      opened.close();
    }
    memory.close();
    LOG.info(
        CarryEvent.CARRIED_FOR_OTHER,
        "request",
        request.getRequest(),
        "sender",
        sender,
        "call",
        request.getCall(),
        "server",
        request.getAddress(),
        "outcome",
        outcome,
        "millis",
        TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - receivedAtNanos));
  }
}
