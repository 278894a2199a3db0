package org.teaseltrestle.integration.operators;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ConfirmationTracker;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.UnconfirmedInstance;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;

/** A control state in memory whose answers can be lost. */
final class MemoryControl implements ControlGateway, ConfirmationTracker {

  private final ControlState state = new ControlState();
  private long index;
  private @Nullable ControlView frozen;
  private int answersToLose;
  private boolean ready = true;
  private List<UnconfirmedInstance> unconfirmed = List.of();

  @Override
  public synchronized ControlView view() {
    return frozen == null ? state.view() : frozen;
  }

  /** Confirms the index of the last command; a view that was held back catches up. */
  @Override
  public synchronized CompletableFuture<Long> confirmedIndex() {
    frozen = null;
    return CompletableFuture.completedFuture(index);
  }

  /** Holds the view back at the present state until the next confirmation. */
  synchronized void holdViewBack() {
    frozen = state.view();
  }

  @Override
  public synchronized CompletableFuture<CommandAnswer> propose(Command command) {
    CommandAnswer answer = state.apply(++index, command);
    if (answersToLose > 0) {
      answersToLose--;
      return CompletableFuture.failedFuture(
          new TrestleException(ErrorCode.UNREACHABLE, "the answer was lost"));
    }
    return CompletableFuture.completedFuture(answer);
  }

  @Override
  public synchronized boolean isReady() {
    return ready;
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    return Long.MAX_VALUE;
  }

  @Override
  public synchronized CompletableFuture<List<UnconfirmedInstance>> unconfirmed(long appliedIndex) {
    return CompletableFuture.completedFuture(unconfirmed);
  }

  synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  synchronized void setReady(boolean ready) {
    this.ready = ready;
  }

  synchronized void setUnconfirmed(List<UnconfirmedInstance> instances) {
    unconfirmed = instances;
  }
}
