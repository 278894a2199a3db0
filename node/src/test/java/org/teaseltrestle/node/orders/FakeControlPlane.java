package org.teaseltrestle.node.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.node.replica.Authority;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.replica.ControlStatus;
import org.teaseltrestle.node.replica.WithdrawalReport;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;

/** Control plane that applies each command immediately and whose authority a test can revoke. */
final class FakeControlPlane implements ControlPlane {

  private static final long TERM = 1;
  private static final long SECOND_NANOS = 1_000_000_000L;

  final List<Command> proposed = new ArrayList<>();

  /** Number of reads of the authority, which shows that the duty is running. */
  final AtomicInteger authorityReads = new AtomicInteger();

  private final ControlState state = new ControlState();
  private volatile boolean hasAuthority = true;
  private final AtomicReference<@Nullable String> successor = new AtomicReference<>();
  private volatile ControlView view = state.view();
  private long index;

  /** Fencing number of this process's own authority. */
  final long ownFencingNumber;

  FakeControlPlane() {
    ownFencingNumber =
        apply(
                Command.newBuilder()
                    .setClaimAuthority(
                        ClaimAuthority.newBuilder().setTerm(TERM).setInstance("entry-1").setBoot(1))
                    .build())
            .getFencingNumber();
  }

  void setAuthority(boolean value) {
    hasAuthority = value;
  }

  /** Lets another instance claim the authority when an order call next checks the own one. */
  void succeedDuringNextCheckBy(String instance) {
    successor.set(instance);
  }

  synchronized CommandAnswer apply(Command command) {
    CommandAnswer answer = state.apply(++index, command);
    view = state.view();
    return answer;
  }

  synchronized List<Command> proposed() {
    return List.copyOf(proposed);
  }

  @Override
  public CompletableFuture<CommandAnswer> propose(Command command) {
    synchronized (this) {
      proposed.add(command);
    }
    return CompletableFuture.completedFuture(apply(command));
  }

  @Override
  public ControlView view() {
    return view;
  }

  @Override
  public Optional<Authority> authority() {
    authorityReads.incrementAndGet();
    String claiming =
        Thread.currentThread().getName().equals("order-calls") ? successor.getAndSet(null) : null;
    if (claiming != null) {
      apply(
          Command.newBuilder()
              .setClaimAuthority(
                  ClaimAuthority.newBuilder().setTerm(TERM + 1).setInstance(claiming).setBoot(1))
              .build());
    }
    return hasAuthority
        ? Optional.of(
            new Authority(
                TERM,
                ownFencingNumber,
                System.nanoTime() - SECOND_NANOS,
                System.nanoTime() + SECOND_NANOS))
        : Optional.empty();
  }

  @Override
  public CompletableFuture<List<String>> awaitedInstances(long atIndex) {
    return CompletableFuture.completedFuture(List.of());
  }

  @Override
  public CompletableFuture<Long> confirmedIndex() {
    return CompletableFuture.completedFuture(view.appliedIndex());
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public OptionalLong knownAsOfNanos() {
    return OptionalLong.of(System.nanoTime());
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    return Long.MAX_VALUE;
  }

  @Override
  public CompletableFuture<WithdrawalReport> withdrawalReport(long atIndex) {
    return CompletableFuture.completedFuture(new WithdrawalReport(atIndex, List.of()));
  }

  @Override
  public ControlStatus status() {
    return new ControlStatus("leader", TERM, "entry-1", List.of(), index, index);
  }

  @Override
  public void close() {}
}
