package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.PoolDemand;

/**
 * Control plane that delegates to a replica or, while no replica can run here, to a {@link
 * FollowService}, so that the instance continues to serve. What the instance knew before a
 * replacement remains visible until the new delegate knows as much.
 */
final class FallbackControlPlane implements ControlPlane {

  private final AtomicReference<@Nullable Current> current = new AtomicReference<>();
  private final Runnable closeSupervisor;
  private boolean closed;

  /**
   * Creates the plane.
   *
   * @param closeSupervisor called before the delegate is closed
   */
  FallbackControlPlane(Runnable closeSupervisor) {
    this.closeSupervisor = closeSupervisor;
  }

  /**
   * The delegate and what it does not know yet, which change together: a reader that took one
   * without the other would miss what was known before.
   *
   * @param delegate control plane in use
   * @param retained state before the replacement, null once the delegate knows as much
   */
  private record Current(ControlPlane delegate, @Nullable Retained retained) {}

  /**
   * State of this instance when its delegate was replaced.
   *
   * @param knownAsOfNanos monotonic time as of which the view shows all committed entries
   * @param view newest view
   * @param ready whether the view had reached a confirmed index
   * @param keyLeaseEndsAtNanos monotonic end of the key lease
   */
  private record Retained(
      OptionalLong knownAsOfNanos, ControlView view, boolean ready, long keyLeaseEndsAtNanos) {}

  /**
   * Replaces the delegate, which the caller closes, and then starts the new one. Returns false, and
   * starts nothing, once this is closed.
   *
   * @param start starts the new delegate
   */
  synchronized boolean replace(ControlPlane newDelegate, Runnable start) {
    if (closed) {
      return false;
    }
    start.run();
    Retained retained =
        current.get() == null
            ? null
            : new Retained(knownAsOfNanos(), view(), isReady(), keyLeaseEndsAtNanos());
    current.set(new Current(newDelegate, retained));
    return true;
  }

  @Override
  public ControlView view() {
    Current now = current();
    ControlView view = now.delegate().view();
    Retained earlier = now.retained();
    return earlier == null || view.appliedIndex() >= earlier.view().appliedIndex()
        ? view
        : earlier.view();
  }

  @Override
  public CompletableFuture<CommandAnswer> propose(Command command) {
    return current().delegate().propose(command);
  }

  @Override
  public boolean isReady() {
    Current now = current();
    Retained earlier = now.retained();
    return now.delegate().isReady() || (earlier != null && earlier.ready());
  }

  @Override
  public OptionalLong knownAsOfNanos() {
    Current now = current();
    OptionalLong known = now.delegate().knownAsOfNanos();
    Retained earlier = now.retained();
    return earlier == null || isAsRecent(known, earlier.knownAsOfNanos())
        ? known
        : earlier.knownAsOfNanos();
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    Current now = current();
    long end = now.delegate().keyLeaseEndsAtNanos();
    Retained earlier = now.retained();
    return earlier != null && earlier.keyLeaseEndsAtNanos() - end > 0
        ? earlier.keyLeaseEndsAtNanos()
        : end;
  }

  @Override
  public Optional<Authority> authority() {
    return current().delegate().authority();
  }

  @Override
  public CompletableFuture<Long> confirmedIndex() {
    return current().delegate().confirmedIndex();
  }

  @Override
  public CompletableFuture<List<String>> awaitedInstances(long index) {
    return current().delegate().awaitedInstances(index);
  }

  @Override
  public CompletableFuture<WithdrawalReport> withdrawalReport(long index) {
    return current().delegate().withdrawalReport(index);
  }

  @Override
  public List<PoolDemand> poolDemand() {
    return current().delegate().poolDemand();
  }

  @Override
  public void retireRemovedInstances(Set<String> instances) {
    current().delegate().retireRemovedInstances(instances);
  }

  @Override
  public void nameVoters(List<VoterSettings> voters) {
    current().delegate().nameVoters(voters);
  }

  @Override
  public ControlStatus status() {
    return current().delegate().status();
  }

  @Override
  public void close() {
    closeSupervisor.run();
    ControlPlane last = stopReplacing();
    if (last != null) {
      last.close();
    }
  }

  private synchronized @Nullable ControlPlane stopReplacing() {
    closed = true;
    Current last = current.get();
    return last == null ? null : last.delegate();
  }

  private Current current() {
    Current now = current.get();
    if (now == null) {
      throw new IllegalStateException("the control plane has not been started");
    }
    Retained earlier = now.retained();
    if (earlier == null || !knowsAsMuch(now.delegate(), earlier)) {
      return now;
    }
    Current superseded = new Current(now.delegate(), null);
    current.compareAndSet(now, superseded);
    return superseded;
  }

  private static boolean knowsAsMuch(ControlPlane plane, Retained earlier) {
    return plane.view().appliedIndex() >= earlier.view().appliedIndex()
        && (plane.isReady() || !earlier.ready())
        && isAsRecent(plane.knownAsOfNanos(), earlier.knownAsOfNanos())
        && plane.keyLeaseEndsAtNanos() - earlier.keyLeaseEndsAtNanos() >= 0;
  }

  private static boolean isAsRecent(OptionalLong known, OptionalLong earlier) {
    return earlier.isEmpty() || (known.isPresent() && known.getAsLong() - earlier.getAsLong() >= 0);
  }
}
