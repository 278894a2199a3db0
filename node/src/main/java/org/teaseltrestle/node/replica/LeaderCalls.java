package org.teaseltrestle.node.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.LeaderAnswer;

/**
 * Sends requests to the leader from any instance. A request is retried unchanged until its deadline
 * after a lost response or a change of leader, and sent to a new leader as soon as this instance
 * hears of it; commands are safe to repeat because they carry a request id.
 */
final class LeaderCalls {

  private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private final PeerTransport transport;
  private final PeerAddresses addresses;
  private final MonotonicClock clock;
  private final InstanceId self;
  private final @Nullable LeaderRequestHandler localHandler;
  private final AtomicLong nextCall = new AtomicLong();

  /** Calls by their identifier in the schedule. */
  private final Map<Long, Call> calls = new ConcurrentHashMap<>();

  /** Guarded by itself. */
  private final LeaderCallSchedule schedule;

  private volatile boolean closed;

  private record Call(
      long id,
      LeaderRequest request,
      byte[] body,
      long deadlineNanos,
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
    this.schedule = new LeaderCallSchedule(addresses::voters);
  }

  /**
   * Calls the leader. The future fails with a {@link TrestleException}: {@link
   * ErrorCode#OVERLOADED} if the leader rejected the request and no instance can have started it,
   * {@link ErrorCode#UNREACHABLE} if no leader responded before the deadline, {@link
   * ErrorCode#CLOSED} once this client is closed.
   */
  CompletableFuture<LeaderAnswer> call(LeaderRequest request, byte[] body, long deadlineNanos) {
    Call call =
        new Call(
            nextCall.getAndIncrement(), request, body, deadlineNanos, new CompletableFuture<>());
    calls.put(call.id(), call);
    LeaderCallSchedule.Attempt first;
    synchronized (schedule) {
      first = schedule.open(call.id(), request == LeaderRequest.PROPOSE);
    }
    send(call, first);
    return call.result();
  }

  /** Records a leader; open calls that wait or ask another instance are sent to it now. */
  void heard(KnownLeader news) {
    List<LeaderCallSchedule.Attempt> attempts;
    synchronized (schedule) {
      attempts = schedule.heard(news);
    }
    attempts.forEach(this::send);
  }

  /** Records that the leader is no longer known. */
  void leaderLost() {
    synchronized (schedule) {
      schedule.lost();
    }
  }

  void close() {
    closed = true;
  }

  private void send(LeaderCallSchedule.Attempt attempt) {
    Call call = calls.get(attempt.call());
    if (call != null) {
      send(call, attempt);
    }
  }

  private void send(Call call, LeaderCallSchedule.Attempt attempt) {
    long now = clock.nowNanos();
    if (closed || now - call.deadlineNanos() >= 0) {
      ErrorCode code = closed ? ErrorCode.CLOSED : ErrorCode.UNREACHABLE;
      fail(call, new TrestleException(code, "no leader responded before the deadline"));
      return;
    }
    String target = attempt.target();
    long deadline = now + Math.min(ATTEMPT_TIMEOUT_NANOS, call.deadlineNanos() - now);
    LeaderRequestHandler handler = localHandler;
    if (handler != null && target.equals(self.value())) {
      handler.handle(call.request(), call.body(), answer -> onAnswer(call, attempt, answer));
      // A replica that stops does not take what is in its queue.
      CompletableFuture.delayedExecutor(deadline - now, TimeUnit.NANOSECONDS)
          .execute(() -> onFailure(attempt));
      return;
    }
    InetSocketAddress address = addresses.find(target).orElse(null);
    if (address == null || target.equals(self.value())) {
      neverStarted(attempt);
      onFailure(attempt);
      return;
    }
    transport
        .call(address, LeaderRequest.SERVICE, call.request().kind(), call.body(), deadline)
        .whenComplete((body, failure) -> onResponse(call, attempt, body));
  }

  private void onResponse(Call call, LeaderCallSchedule.Attempt attempt, byte @Nullable [] body) {
    if (body == null) {
      onFailure(attempt);
      return;
    }
    try {
      onAnswer(call, attempt, LeaderAnswer.parseFrom(body));
    } catch (InvalidProtocolBufferException e) {
      onFailure(attempt);
    }
  }

  /** An answer counts also if a later attempt is under way; a refusal does not. */
  private void onAnswer(Call call, LeaderCallSchedule.Attempt attempt, LeaderAnswer answer) {
    switch (answer.getStatus()) {
      case ANSWERED -> {
        forget(call);
        call.result().completeAsync(() -> answer);
      }
      case OVERLOADED -> onRejection(call, attempt);
      case NOT_LEADER -> {
        neverStarted(attempt);
        if (answer.getLeader().isEmpty()) {
          onFailure(attempt);
        } else {
          onRedirection(attempt, answer.getLeader());
        }
      }
      default -> onFailure(attempt);
    }
  }

  private void onRejection(Call call, LeaderCallSchedule.Attempt attempt) {
    long now = clock.nowNanos();
    boolean ended;
    OptionalLong retryAtNanos = OptionalLong.empty();
    synchronized (schedule) {
      schedule.neverStarted(attempt);
      ended = schedule.closeIfNeverStarted(attempt);
      if (!ended) {
        retryAtNanos = schedule.rejected(attempt, now);
      }
    }
    if (ended) {
      fail(call, new TrestleException(ErrorCode.OVERLOADED, "the leader rejected the request"));
    } else {
      retryAtNanos.ifPresent(atNanos -> retryAfter(attempt, atNanos - now));
    }
  }

  private void neverStarted(LeaderCallSchedule.Attempt attempt) {
    synchronized (schedule) {
      schedule.neverStarted(attempt);
    }
  }

  private void onFailure(LeaderCallSchedule.Attempt attempt) {
    long now = clock.nowNanos();
    OptionalLong retryAtNanos;
    synchronized (schedule) {
      retryAtNanos = schedule.failed(attempt, now);
    }
    retryAtNanos.ifPresent(atNanos -> retryAfter(attempt, atNanos - now));
  }

  private void onRedirection(LeaderCallSchedule.Attempt attempt, String namedLeader) {
    long now = clock.nowNanos();
    OptionalLong retryAtNanos;
    synchronized (schedule) {
      retryAtNanos = schedule.redirected(attempt, namedLeader, now);
    }
    retryAtNanos.ifPresent(atNanos -> retryAfter(attempt, atNanos - now));
  }

  private void retryAfter(LeaderCallSchedule.Attempt attempt, long delayNanos) {
    CompletableFuture.delayedExecutor(delayNanos, TimeUnit.NANOSECONDS)
        .execute(() -> retry(attempt));
  }

  private void retry(LeaderCallSchedule.Attempt failed) {
    Optional<LeaderCallSchedule.Attempt> next;
    synchronized (schedule) {
      next = schedule.retry(failed);
    }
    next.ifPresent(this::send);
  }

  private void forget(Call call) {
    calls.remove(call.id());
    synchronized (schedule) {
      schedule.close(call.id());
    }
  }

  // Continuations of the future must not run on a duty or network thread.
  private void fail(Call call, TrestleException failure) {
    forget(call);
    ForkJoinPool.commonPool().execute(() -> call.result().completeExceptionally(failure));
  }
}
