package org.teaseltrestle.integration.operators;

import java.util.List;
import java.util.OptionalLong;
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

/** In-memory control state whose responses can be lost and whose view can lag. */
final class MemoryControl implements ControlGateway, ConfirmationTracker {

  private final ControlState state = new ControlState();
  private long lastIndex;
  private @Nullable ControlView frozenView;
  private int responsesToLose;
  private boolean ready = true;
  private List<UnconfirmedInstance> unconfirmed = List.of();

  @Override
  public synchronized ControlView view() {
    return frozenView == null ? state.view() : frozenView;
  }

  /** Confirms the index of the last command; a frozen view catches up. */
  @Override
  public CompletableFuture<List<String>> awaitedInstances(long atIndex) {
    return CompletableFuture.completedFuture(List.of());
  }

  @Override
  public synchronized CompletableFuture<Long> confirmedIndex() {
    frozenView = null;
    return CompletableFuture.completedFuture(lastIndex);
  }

  /** Freezes the view at the current state until the next confirmation. */
  synchronized void freezeView() {
    frozenView = state.view();
  }

  @Override
  public synchronized CompletableFuture<CommandAnswer> propose(Command command) {
    CommandAnswer answer = state.apply(++lastIndex, command);
    if (responsesToLose > 0) {
      responsesToLose--;
      return CompletableFuture.failedFuture(
          new TrestleException(ErrorCode.UNREACHABLE, "the response was lost"));
    }
    return CompletableFuture.completedFuture(answer);
  }

  @Override
  public synchronized boolean isReady() {
    return ready;
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
  public synchronized CompletableFuture<List<UnconfirmedInstance>> unconfirmed(long appliedIndex) {
    return CompletableFuture.completedFuture(unconfirmed);
  }

  synchronized void loseResponses(int count) {
    responsesToLose = count;
  }

  synchronized void setReady(boolean ready) {
    this.ready = ready;
  }

  synchronized void setUnconfirmed(List<UnconfirmedInstance> instances) {
    unconfirmed = instances;
  }
}
