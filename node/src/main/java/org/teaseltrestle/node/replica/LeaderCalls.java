package org.teaseltrestle.node.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.LeaderAnswer;

/**
 * Brings requests to the leader from any instance. A request is sent again, unchanged, after a lost
 * answer or a change of leader, until its deadline; commands are safe to repeat because they carry
 * their request id.
 */
final class LeaderCalls {

  private static final long ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private static final int RETRY_PAUSE_MILLISECONDS = 50;

  private final PeerTransport transport;
  private final PeerAddresses addresses;
  private final MonotonicClock clock;
  private final InstanceId self;
  private final @Nullable LeaderHandler local;
  private final AtomicInteger nextVoter = new AtomicInteger();
  private final Executor retryLater =
      CompletableFuture.delayedExecutor(RETRY_PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS);
  private volatile @Nullable String leader;
  private volatile boolean closed;

  private record Call(
      LeaderRequest request,
      byte[] body,
      long deadlineNanos,
      CompletableFuture<LeaderAnswer> result) {}

  /**
   * Creates the calls; {@code local} serves requests to this instance itself, null if it cannot.
   */
  LeaderCalls(
      ControlPlaneSettings settings,
      PeerTransport transport,
      PeerAddresses addresses,
      MonotonicClock clock,
      @Nullable LeaderHandler local) {
    this.transport = transport;
    this.addresses = addresses;
    this.clock = clock;
    this.self = settings.instance();
    this.local = local;
  }

  /**
   * Calls the leader. The future fails with a {@link TrestleException}: of {@link
   * ErrorCode#OVERLOADED} if the request was certainly not begun, of {@link ErrorCode#UNREACHABLE}
   * if no answer came before the deadline.
   */
  CompletableFuture<LeaderAnswer> call(LeaderRequest request, byte[] body, long deadlineNanos) {
    Call call = new Call(request, body, deadlineNanos, new CompletableFuture<>());
    attempt(call);
    return call.result();
  }

  /** Notes which instance leads, for the next attempt. */
  void leaderIs(@Nullable InstanceId instance) {
    leader = instance == null ? null : instance.value();
  }

  void close() {
    closed = true;
  }

  private void attempt(Call call) {
    long now = clock.nowNanos();
    if (closed || now - call.deadlineNanos() >= 0) {
      ErrorCode code = closed ? ErrorCode.CLOSED : ErrorCode.UNREACHABLE;
      fail(call, new TrestleException(code, "no leader answered in time"));
      return;
    }
    String target = target();
    LeaderHandler handler = local;
    if (handler != null && target.equals(self.value())) {
      handler.handle(call.request(), call.body(), answer -> answered(call, answer));
      return;
    }
    InetSocketAddress address = addresses.find(target).orElse(null);
    if (address == null || target.equals(self.value())) {
      retry(call);
      return;
    }
    long deadline = now + Math.min(ATTEMPT_NANOS, call.deadlineNanos() - now);
    transport
        .call(address, LeaderRequest.SERVICE, call.request().kind(), call.body(), deadline)
        .whenComplete((body, failure) -> received(call, body));
  }

  private void received(Call call, byte @Nullable [] body) {
    if (body == null) {
      retry(call);
      return;
    }
    try {
      answered(call, LeaderAnswer.parseFrom(body));
    } catch (InvalidProtocolBufferException e) {
      retry(call);
    }
  }

  private void answered(Call call, LeaderAnswer answer) {
    switch (answer.getStatus()) {
      case ANSWERED -> call.result().completeAsync(() -> answer);
      case OVERLOADED ->
          fail(call, new TrestleException(ErrorCode.OVERLOADED, "the leader refused the request"));
      case NOT_LEADER -> {
        if (answer.getLeader().isEmpty() || answer.getLeader().equals(leader)) {
          retry(call);
        } else {
          leader = answer.getLeader();
          retryLater.execute(() -> attempt(call));
        }
      }
      default -> retry(call);
    }
  }

  // Callers' continuations must not run on a duty or network thread.
  private static void fail(Call call, TrestleException failure) {
    ForkJoinPool.commonPool().execute(() -> call.result().completeExceptionally(failure));
  }

  private void retry(Call call) {
    leader = null;
    nextVoter.incrementAndGet();
    retryLater.execute(() -> attempt(call));
  }

  private String target() {
    String known = leader;
    if (known != null) {
      return known;
    }
    List<String> voters = addresses.voters();
    return voters.get(Math.floorMod(nextVoter.get(), voters.size()));
  }
}
