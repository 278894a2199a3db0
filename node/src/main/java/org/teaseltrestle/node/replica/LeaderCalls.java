package org.teaseltrestle.node.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
 * Sends requests to the leader from any instance. A request is retried unchanged until its deadline
 * after a lost response or a change of leader; commands are safe to repeat because they carry a
 * request id.
 */
final class LeaderCalls {

  private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private static final int SHORTEST_RETRY_DELAY_MILLISECONDS = 50;

  /** Without a limit on the rate, the calls of a hundred instances delay the election itself. */
  private static final int LONGEST_RETRY_DELAY_MILLISECONDS = 400;

  private static final int MAXIMUM_DOUBLINGS = 3;

  private final PeerTransport transport;
  private final PeerAddresses addresses;
  private final MonotonicClock clock;
  private final InstanceId self;
  private final @Nullable LeaderRequestHandler localHandler;
  private final AtomicInteger nextVoter = new AtomicInteger();
  private volatile @Nullable String leader;
  private volatile boolean closed;

  private record Call(
      LeaderRequest request,
      byte[] body,
      long deadlineNanos,
      AtomicInteger failures,
      CompletableFuture<LeaderAnswer> result) {}

  /**
   * Creates the client; {@code localHandler} handles requests to this instance itself, null on a
   * non-voter.
   */
  LeaderCalls(
      ControlPlaneSettings settings,
      PeerTransport transport,
      PeerAddresses addresses,
      MonotonicClock clock,
      @Nullable LeaderRequestHandler localHandler) {
    this.transport = transport;
    this.addresses = addresses;
    this.clock = clock;
    this.self = settings.instance();
    this.localHandler = localHandler;
  }

  /**
   * Calls the leader. The future fails with a {@link TrestleException}: {@link
   * ErrorCode#OVERLOADED} if the leader rejected the request without starting it, {@link
   * ErrorCode#UNREACHABLE} if no leader responded before the deadline, {@link ErrorCode#CLOSED}
   * once this client is closed.
   */
  CompletableFuture<LeaderAnswer> call(LeaderRequest request, byte[] body, long deadlineNanos) {
    Call call =
        new Call(request, body, deadlineNanos, new AtomicInteger(), new CompletableFuture<>());
    attempt(call);
    return call.result();
  }

  /** Records the leader to which the next attempt is sent, null if it is unknown. */
  void setLeader(@Nullable InstanceId instance) {
    leader = instance == null ? null : instance.value();
  }

  void close() {
    closed = true;
  }

  private void attempt(Call call) {
    long now = clock.nowNanos();
    if (closed || now - call.deadlineNanos() >= 0) {
      ErrorCode code = closed ? ErrorCode.CLOSED : ErrorCode.UNREACHABLE;
      fail(call, new TrestleException(code, "no leader responded before the deadline"));
      return;
    }
    String target = target();
    LeaderRequestHandler handler = localHandler;
    if (handler != null && target.equals(self.value())) {
      handler.handle(call.request(), call.body(), answer -> onAnswer(call, answer));
      return;
    }
    InetSocketAddress address = addresses.find(target).orElse(null);
    if (address == null || target.equals(self.value())) {
      retry(call);
      return;
    }
    long deadline = now + Math.min(ATTEMPT_TIMEOUT_NANOS, call.deadlineNanos() - now);
    transport
        .call(address, LeaderRequest.SERVICE, call.request().kind(), call.body(), deadline)
        .whenComplete((body, failure) -> onResponse(call, body));
  }

  private void onResponse(Call call, byte @Nullable [] body) {
    if (body == null) {
      retry(call);
      return;
    }
    try {
      onAnswer(call, LeaderAnswer.parseFrom(body));
    } catch (InvalidProtocolBufferException e) {
      retry(call);
    }
  }

  private void onAnswer(Call call, LeaderAnswer answer) {
    switch (answer.getStatus()) {
      case ANSWERED -> call.result().completeAsync(() -> answer);
      case OVERLOADED ->
          fail(call, new TrestleException(ErrorCode.OVERLOADED, "the leader rejected the request"));
      case NOT_LEADER -> {
        if (answer.getLeader().isEmpty() || answer.getLeader().equals(leader)) {
          retry(call);
        } else {
          leader = answer.getLeader();
          attemptAfter(call, SHORTEST_RETRY_DELAY_MILLISECONDS);
        }
      }
      default -> retry(call);
    }
  }

  // Continuations of the future must not run on a duty or network thread.
  private static void fail(Call call, TrestleException failure) {
    ForkJoinPool.commonPool().execute(() -> call.result().completeExceptionally(failure));
  }

  private void retry(Call call) {
    leader = null;
    nextVoter.incrementAndGet();
    attemptAfter(call, retryDelayMilliseconds(call.failures().getAndIncrement()));
  }

  private void attemptAfter(Call call, int delayMilliseconds) {
    CompletableFuture.delayedExecutor(delayMilliseconds, TimeUnit.MILLISECONDS)
        .execute(() -> attempt(call));
  }

  /** Returns the delay before the next attempt of a call that has failed this often before. */
  static int retryDelayMilliseconds(int earlierFailures) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, earlierFailures);
    return Math.min(
        LONGEST_RETRY_DELAY_MILLISECONDS, SHORTEST_RETRY_DELAY_MILLISECONDS << doublings);
  }

  private String target() {
    String knownLeader = leader;
    if (knownLeader != null) {
      return knownLeader;
    }
    List<String> voters = addresses.voters();
    return voters.get(Math.floorMod(nextVoter.get(), voters.size()));
  }
}
