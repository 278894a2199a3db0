package org.teaseltrestle.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/** What the owner of a core has to do. */
public sealed interface RaftAction {

  /** Action on storage; synced before any other action of the batch is executed. */
  sealed interface StorageAction extends RaftAction {}

  /** Why a proposal or read got no result. */
  enum Refusal {
    /** Certainly not appended: this replica does not lead. */
    NOT_LEADER,
    /** Certainly not appended: too many are in flight, or another change of members is. */
    OVERLOADED,
    /** Certainly not appended: the change of members does not fit the present members. */
    INVALID,
    /** Leadership was lost; the entry may still be committed. */
    OUTCOME_UNKNOWN
  }

  /** Stores term and vote. */
  record SaveHardState(HardState state) implements StorageAction {}

  /** Stores entries; an index that is already stored replaces it and all later ones. */
  record AppendEntries(List<LogEntry> entries) implements StorageAction {}

  /** What happens to the stored entries when a snapshot is stored. */
  enum StoredEntries {
    /** Entries agree with the snapshot; those before the retained ones may be deleted. */
    PRUNE,
    /** Entries do not agree with the snapshot and must be deleted. */
    DISCARD
  }

  /**
   * Stores a snapshot.
   *
   * @param firstRetainedIndex first entry to keep when pruning
   */
  record SaveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex)
      implements StorageAction {}

  /** Sends a message; it may be lost. */
  record Send(RaftEnvelope envelope) implements RaftAction {}

  /** Applies committed entries in order. */
  record Apply(List<LogEntry> entries) implements RaftAction {}

  /** Replaces the state by that of a snapshot. */
  record RestoreState(Snapshot snapshot) implements RaftAction {}

  /** A proposal was appended at an index of this term and is not committed yet. */
  record ProposalAppended(long proposalId, long index) implements RaftAction {}

  /** A proposal was committed; its entry has been applied. */
  record ProposalCommitted(long proposalId, long index) implements RaftAction {}

  /** A proposal got no result. */
  record ProposalFailed(long proposalId, Refusal refusal, @Nullable ReplicaId leader)
      implements RaftAction {}

  /** A quorum confirmed that {@code index} covers all entries committed before the read. */
  record ReadConfirmed(long readId, long index) implements RaftAction {}

  /** A read got no index. */
  record ReadFailed(long readId, Refusal refusal, @Nullable ReplicaId leader)
      implements RaftAction {}

  /** Role, term or known leader changed. */
  record RoleChanged(RaftRole role, long term, @Nullable ReplicaId leader) implements RaftAction {}
}
