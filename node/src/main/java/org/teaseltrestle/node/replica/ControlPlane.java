package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.wire.PoolDemand;

/** Access to the control state, with what only some parts of a node need. */
public interface ControlPlane extends ControlGateway, AutoCloseable {

  /** Returns this process's authority if it leads and has claimed it; it may have ended. */
  Optional<Authority> authority();

  /**
   * Asks the leader which instances have not confirmed an index. The future fails with a {@code
   * TrestleException} of {@link ErrorCode#UNREACHABLE} when no leader answered in time.
   */
  CompletableFuture<WithdrawalReport> withdrawalReport(long index);

  /** Returns the demand by pool over all nodes; empty unless this process leads. */
  default List<PoolDemand> poolDemand() {
    return List.of();
  }

  /** Retires instances that the platform calls gone; has an effect only on the leader. */
  default void retireGone(Set<String> instances) {}

  /** Returns a short description of role, term and leader for status pages. */
  ControlStatus status();

  @Override
  void close();
}
