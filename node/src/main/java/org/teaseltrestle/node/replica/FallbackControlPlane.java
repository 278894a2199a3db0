package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.PoolDemand;

/**
 * Control plane of an instance with a disk: its replica, and a follower in its place once the
 * replica has stopped after a disk failure, so that the instance goes on serving.
 */
final class FallbackControlPlane implements ControlPlane {

  private volatile @Nullable ReplicaService replica;
  private volatile @Nullable FollowService follower;
  private boolean closed;

  /** Takes the replica over and starts it. */
  synchronized void start(ReplicaService service) {
    replica = service;
    service.start();
  }

  /** Starts a follower in place of the replica. */
  synchronized void follow(FollowService service) {
    if (!closed) {
      service.start();
      follower = service;
    }
  }

  @Override
  public ControlView view() {
    ControlView newest = current().view();
    ReplicaService old = replica;
    ControlView last = old == null ? newest : old.view();
    return last.appliedIndex() > newest.appliedIndex() ? last : newest;
  }

  @Override
  public CompletableFuture<CommandAnswer> propose(Command command) {
    return current().propose(command);
  }

  @Override
  public boolean isReady() {
    ReplicaService old = replica;
    return current().isReady() || (old != null && old.isReady());
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    long end = current().keyLeaseEndsAtNanos();
    ReplicaService old = replica;
    long oldEnd = old == null ? end : old.keyLeaseEndsAtNanos();
    return oldEnd - end > 0 ? oldEnd : end;
  }

  @Override
  public Optional<Authority> authority() {
    return follower == null ? current().authority() : Optional.empty();
  }

  @Override
  public CompletableFuture<Long> confirmedIndex() {
    return current().confirmedIndex();
  }

  @Override
  public CompletableFuture<WithdrawalReport> withdrawalReport(long index) {
    return current().withdrawalReport(index);
  }

  @Override
  public List<PoolDemand> poolDemand() {
    return current().poolDemand();
  }

  @Override
  public void retireGone(Set<String> instances) {
    current().retireGone(instances);
  }

  @Override
  public ControlStatus status() {
    return current().status();
  }

  @Override
  public synchronized void close() {
    closed = true;
    FollowService following = follower;
    if (following != null) {
      following.close();
    }
    ReplicaService old = replica;
    if (old != null) {
      old.close();
    }
  }

  private ControlPlane current() {
    FollowService following = follower;
    if (following != null) {
      return following;
    }
    ReplicaService service = replica;
    if (service == null) {
      throw new IllegalStateException("the control plane has not been started");
    }
    return service;
  }
}
