package org.teaseltrestle.consensus;

import org.teaseltrestle.model.ReplicaId;

/** What the core reacts to. */
public sealed interface RaftEvent {

  /** Kind of a requested change of the members. */
  enum MembershipChange {
    ADD_LEARNER,
    PROMOTE,
    REMOVE
  }

  /**
   * Time has passed.
   *
   * @param jitter random sample from 0 (inclusive) to 1 (exclusive) for the next election timeout
   */
  record Tick(double jitter) implements RaftEvent {}

  /** A message arrived. */
  record Received(RaftEnvelope envelope) implements RaftEvent {}

  /** A command is to be appended. */
  record Propose(long proposalId, byte[] command) implements RaftEvent {}

  /** A member is to be added, promoted or removed; answered like a proposal. */
  record ChangeMembership(long proposalId, MembershipChange change, ReplicaId replica)
      implements RaftEvent {}

  /** A read wants an index that a quorum confirms as committed. */
  record ReadIndex(long readId) implements RaftEvent {}

  /** The state machine encoded its state as of an applied index. */
  record SnapshotTaken(long index, byte[] data) implements RaftEvent {}
}
