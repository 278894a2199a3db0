package org.teaseltrestle.transport;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Calls to one peer that wait for their response. */
final class PendingCalls {

  private final Map<Long, PendingCall> calls = new ConcurrentHashMap<>();
  private final AtomicLong nextCorrelation = new AtomicLong(1);
  private volatile boolean closed;

  /** Registers a call and returns its correlation number, which is unique and not 0. */
  long register(CompletableFuture<byte[]> future, long deadlineNanos) {
    long correlation = nextCorrelation.getAndIncrement();
    calls.put(correlation, new PendingCall(future, deadlineNanos));
    if (closed) {
      failAll("connection closed");
    }
    return correlation;
  }

  /** Completes the call that a response belongs to; a response without a call is ignored. */
  void complete(long correlation, byte[] body) {
    @Nullable PendingCall call = calls.remove(correlation);
    if (call != null) {
      call.future.complete(body);
    }
  }

  /** Fails the calls whose deadline has passed. */
  void expire(long nowNanos) {
    calls.forEach(
        (correlation, call) -> {
          if (nowNanos - call.deadlineNanos >= 0 && calls.remove(correlation, call)) {
            call.future.completeExceptionally(unreachable("no response before the deadline"));
          }
        });
  }

  /** Fails all calls; later registrations fail immediately. */
  void close(String reason) {
    closed = true;
    failAll(reason);
  }

  /** Fails all registered calls; later registrations are still possible. */
  void failAll(String reason) {
    calls.forEach(
        (correlation, call) -> {
          if (calls.remove(correlation, call)) {
            call.future.completeExceptionally(unreachable(reason));
          }
        });
  }

  static TrestleException unreachable(String reason) {
    return new TrestleException(ErrorCode.UNREACHABLE, reason);
  }

  private record PendingCall(CompletableFuture<byte[]> future, long deadlineNanos) {}
}
