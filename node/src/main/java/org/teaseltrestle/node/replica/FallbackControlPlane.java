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
 * Control plane that delegates to a replica or, without a replica or after it has stopped because
 * of a storage failure, to a {@link FollowService}, so that the instance continues to serve.
 */
final class FallbackControlPlane implements ControlPlane {

  private volatile @Nullable ReplicaService replica;
  private volatile @Nullable FollowService followService;
  private boolean closed;

  /** Starts the replica and delegates to it. Closing this closes the replica too. */
  synchronized void start(ReplicaService service) {
    replica = service;
    service.start();
  }

  /** Starts a follow service in place of the replica; does nothing once this is closed. */
  synchronized void follow(FollowService service) {
    if (!closed) {
      service.start();
      followService = service;
    }
  }

  @Override
  public ControlView view() {
    ControlView currentView = current().view();
    ReplicaService replicaService = replica;
    ControlView replicaView = replicaService == null ? currentView : replicaService.view();
    return replicaView.appliedIndex() > currentView.appliedIndex() ? replicaView : currentView;
  }

  @Override
  public CompletableFuture<CommandAnswer> propose(Command command) {
    return current().propose(command);
  }

  @Override
  public boolean isReady() {
    ReplicaService replicaService = replica;
    return current().isReady() || (replicaService != null && replicaService.isReady());
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    long end = current().keyLeaseEndsAtNanos();
    ReplicaService replicaService = replica;
    long replicaLeaseEnd = replicaService == null ? end : replicaService.keyLeaseEndsAtNanos();
    return replicaLeaseEnd - end > 0 ? replicaLeaseEnd : end;
  }

  @Override
  public Optional<Authority> authority() {
    return followService == null ? current().authority() : Optional.empty();
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
  public void retireRemovedInstances(Set<String> instances) {
    current().retireRemovedInstances(instances);
  }

  @Override
  public ControlStatus status() {
    return current().status();
  }

  @Override
  public synchronized void close() {
    closed = true;
    FollowService following = followService;
    if (following != null) {
      following.close();
    }
    ReplicaService replicaService = replica;
    if (replicaService != null) {
      replicaService.close();
    }
  }

  private ControlPlane current() {
    FollowService following = followService;
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
