package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.PoolDemand;

/** Access to the control state, including the operations that only some parts of a node need. */
public interface ControlPlane extends ControlGateway, AutoCloseable {

  /** Returns this process's authority if it leads and has claimed it; it may have ended. */
  Optional<Authority> authority();

  /**
   * Asks the leader which instances have not confirmed an index. The future fails with a {@code
   * TrestleException} of {@link ErrorCode#UNREACHABLE} if no leader responds in time.
   */
  CompletableFuture<WithdrawalReport> withdrawalReport(long index);

  /** Returns the demand by pool over all nodes; empty unless this process leads. */
  default List<PoolDemand> poolDemand() {
    return List.of();
  }

  /** Retires instances that the platform lists as removed; has an effect only on the leader. */
  default void retireRemovedInstances(Set<String> instances) {}

  /**
   * Replaces the voters that the settings name. Has an effect only on an instance that follows the
   * committed log; a replica knows its group from the log.
   */
  default void nameVoters(List<VoterSettings> voters) {}

  /** Returns role, term and leader of this process for status pages. */
  ControlStatus status();

  @Override
  void close();
}
