package org.teaseltrestle.node.replica;

import java.util.List;
import org.teaseltrestle.model.ReplicaId;

/**
 * State of the control plane in this process.
 *
 * @param role leader, follower, candidate, pre_candidate, or following for a non-voter
 * @param term current term, 0 for a non-voter
 * @param leader instance of the leader or, for a non-voter, of the parent; empty if unknown
 * @param voters voters in the latest configuration in the log, empty for a non-voter
 * @param appliedIndex last applied log index
 * @param droppedMessages messages and requests rejected because the duty's ring buffer was full
 */
public record ControlStatus(
    String role,
    long term,
    String leader,
    List<ReplicaId> voters,
    long appliedIndex,
    long droppedMessages) {

  /** Copies the list. */
  public ControlStatus {
    voters = List.copyOf(voters);
  }
}
