package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.ChangeQuery;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LeaderAnswer;
import org.teaseltrestle.wire.WithdrawalQuery;

/** Typed client for requests to the leader. */
final class LeaderClient {

  private static final long PROPOSAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final LeaderCalls calls;
  private final MonotonicClock clock;

  LeaderClient(LeaderCalls calls, MonotonicClock clock) {
    this.calls = calls;
    this.clock = clock;
  }

  CompletableFuture<CommandAnswer> propose(Command command) {
    long deadline = clock.nowNanos() + PROPOSAL_TIMEOUT_NANOS;
    return calls
        .call(LeaderRequest.PROPOSE, command.toByteArray(), deadline)
        .thenApply(LeaderAnswer::getAnswer);
  }

  /** Returns an index that a quorum has confirmed as committed since this call. */
  CompletableFuture<Long> confirmedIndex() {
    long deadline = clock.nowNanos() + CONFIRMATION_TIMEOUT_NANOS;
    return calls
        .call(LeaderRequest.CONFIRM, new byte[0], deadline)
        .thenApply(LeaderAnswer::getConfirmedIndex);
  }

  CompletableFuture<WithdrawalReport> withdrawalReport(long index) {
    long deadline = clock.nowNanos() + CONFIRMATION_TIMEOUT_NANOS;
    byte[] query = WithdrawalQuery.newBuilder().setIndex(index).build().toByteArray();
    return calls
        .call(LeaderRequest.WITHDRAWAL, query, deadline)
        .thenApply(answer -> toReport(index, answer));
  }

  /** Returns the instances that must apply a change before it may be acknowledged. */
  CompletableFuture<List<String>> awaitedInstances(long index) {
    long deadline = clock.nowNanos() + CONFIRMATION_TIMEOUT_NANOS;
    byte[] query = ChangeQuery.newBuilder().setIndex(index).build().toByteArray();
    return calls
        .call(LeaderRequest.AWAITED, query, deadline)
        .thenApply(answer -> List.copyOf(answer.getAwaitedList()));
  }

  private WithdrawalReport toReport(long index, LeaderAnswer answer) {
    long now = clock.nowNanos();
    return new WithdrawalReport(
        index,
        answer.getUnconfirmedList().stream()
            .map(
                each ->
                    new WithdrawalReport.UnconfirmedLease(
                        new InstanceId(each.getInstance()), now + each.getLeaseEndsInNanos()))
            .toList());
  }
}
