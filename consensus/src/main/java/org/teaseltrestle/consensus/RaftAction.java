package org.teaseltrestle.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/** Instruction of a core to its owner. */
public sealed interface RaftAction {

  /** Action on storage; durable before any other action of the batch is executed. */
  sealed interface StorageAction extends RaftAction {}

  /** Why a proposal or read failed. */
  enum Refusal {
    /** Not appended: this replica is not the leader. */
    NOT_LEADER,
    /** Not appended: too many requests or another membership change are in progress. */
    OVERLOADED,
    /** Not appended: the membership change is not valid for the current members. */
    INVALID,
    /** Leadership was lost; the entry may still be committed. */
    OUTCOME_UNKNOWN
  }

  /** Stores the term and vote. */
  record SaveHardState(HardState state) implements StorageAction {}

  /** Stores entries; the first one replaces a stored entry of its index and all later ones. */
  record AppendEntries(List<LogEntry> entries) implements StorageAction {}

  /** What happens to the stored entries when a snapshot is stored. */
  enum StoredEntries {
    /** The entries match the snapshot; those before the retained ones may be deleted. */
    PRUNE,
    /** The entries conflict with the snapshot and must be deleted. */
    DISCARD
  }

  /**
   * Stores a snapshot.
   *
   * @param firstRetainedIndex index of the first entry to retain when pruning
   */
  record SaveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex)
      implements StorageAction {}

  /** Sends a message; it may be lost. */
  record Send(RaftEnvelope envelope) implements RaftAction {}

  /** Applies committed entries to the state machine, in order. */
  record Apply(List<LogEntry> entries) implements RaftAction {}

  /** Replaces the state of the state machine by that of a snapshot. */
  record RestoreState(Snapshot snapshot) implements RaftAction {}

  /** A proposal was appended at an index in the current term and is not committed yet. */
  record ProposalAppended(long proposalId, long index) implements RaftAction {}

  /** A proposal was committed; an earlier action applied its entry. */
  record ProposalCommitted(long proposalId, long index) implements RaftAction {}

  /** A proposal failed; see the refusal for whether it may still be committed. */
  record ProposalFailed(long proposalId, Refusal refusal, @Nullable ReplicaId leader)
      implements RaftAction {}

  /** A quorum confirmed that {@code index} covers all entries committed before the read. */
  record ReadConfirmed(long readId, long index) implements RaftAction {}

  /** A read failed. */
  record ReadFailed(long readId, Refusal refusal, @Nullable ReplicaId leader)
      implements RaftAction {}

  /** The role, term or known leader changed. */
  record RoleChanged(RaftRole role, long term, @Nullable ReplicaId leader) implements RaftAction {}
}
