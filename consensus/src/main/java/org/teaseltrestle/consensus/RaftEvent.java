package org.teaseltrestle.consensus;

import org.teaseltrestle.model.ReplicaId;

/** Input of a core. */
public sealed interface RaftEvent {

  /** Kind of a requested membership change. */
  enum MembershipChange {
    ADD_LEARNER,
    PROMOTE,
    REMOVE
  }

  /**
   * Time has passed; sent periodically.
   *
   * @param jitter random sample from 0 (inclusive) to 1 (exclusive) for the next election timeout
   */
  record Tick(double jitter) implements RaftEvent {}

  /** A message arrived. */
  record Received(RaftEnvelope envelope) implements RaftEvent {}

  /** A command is to be appended. */
  record Propose(long proposalId, byte[] command) implements RaftEvent {}

  /** A member is to be added, promoted or removed; the result is reported like a proposal's. */
  record ChangeMembership(long proposalId, MembershipChange change, ReplicaId replica)
      implements RaftEvent {}

  /** A linearizable read asks for an index that a quorum confirms as committed. */
  record ReadIndex(long readId) implements RaftEvent {}

  /** The state machine took a snapshot of its state at an applied index. */
  record SnapshotTaken(long index, byte[] data) implements RaftEvent {}
}
