package org.teaseltrestle.node.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.node.replica.Authority;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.replica.ControlStatus;
import org.teaseltrestle.node.replica.WithdrawalReport;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;

/** Control plane that applies each command at once and whose authority a test can take away. */
final class StubPlane implements ControlPlane {

  private static final long TERM = 1;
  private static final long SECOND = 1_000_000_000L;

  final List<Command> proposed = new ArrayList<>();

  /** How often the authority has been asked for, which shows that the duty goes on. */
  final AtomicInteger questions = new AtomicInteger();

  private final ControlState state = new ControlState();
  private volatile boolean inCharge = true;
  private volatile ControlView view = state.view();
  private long index;

  StubPlane() {
    apply(
        Command.newBuilder()
            .setClaimAuthority(
                ClaimAuthority.newBuilder().setTerm(TERM).setInstance("entry-1").setBoot(1))
            .build());
  }

  void setInCharge(boolean value) {
    inCharge = value;
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
    questions.incrementAndGet();
    return inCharge
        ? Optional.of(
            new Authority(TERM, 1, System.nanoTime() - SECOND, System.nanoTime() + SECOND))
        : Optional.empty();
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
