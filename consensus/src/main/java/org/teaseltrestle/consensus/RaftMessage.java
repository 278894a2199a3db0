package org.teaseltrestle.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/** Message between replicas. */
public sealed interface RaftMessage {

  /** Whether a vote is a trial that changes no state or a real one. */
  enum VoteKind {
    PRE_VOTE,
    VOTE
  }

  /** Steps by which empty replicas and groups find each other. */
  enum FormationStep {
    /** Asks whether the receiver belongs to a group. */
    PROBE,
    /** Answers a probe. */
    PROBE_ANSWER,
    /** Asks an empty replica to promise its part in a first configuration. */
    PREPARE,
    /** Gives the promise, after syncing it. */
    PROMISE,
    /** Asks the leader to add the sender as a learner. */
    JOIN
  }

  /** Asks for a vote in {@code term}, or whether it would be given. */
  record VoteRequest(long term, VoteKind kind, long lastIndex, long lastTerm)
      implements RaftMessage {}

  /**
   * Answers a vote request.
   *
   * @param term requested term if granted, else the term of the sender
   */
  record VoteAnswer(long term, VoteKind kind, boolean granted) implements RaftMessage {}

  /**
   * Heartbeat of a leader, with entries if there are any.
   *
   * @param sentAtNanos leader's own monotonic time, returned in the answer
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long sentAtNanos)
      implements RaftMessage {}

  /**
   * Answers an append request after syncing its entries.
   *
   * @param matchIndex last index known to agree if successful, else a hint where to try next
   */
  record AppendAnswer(long term, boolean successful, long matchIndex, long sentAtNanos)
      implements RaftMessage {}

  /** Part of a snapshot, from {@code offset} of {@code totalLength} bytes. */
  record SnapshotChunk(
      long term,
      long index,
      long indexTerm,
      Configuration configuration,
      int totalLength,
      int offset,
      byte[] data,
      long sentAtNanos)
      implements RaftMessage {}

  /** Answers a chunk with the offset wanted next; the total length means done. */
  record SnapshotAnswer(long term, long index, int nextOffset, long sentAtNanos)
      implements RaftMessage {}

  /**
   * Step of forming or joining a group.
   *
   * @param formed whether the sender belongs to a group
   * @param leader leader known to the sender
   */
  record Formation(FormationStep step, boolean formed, @Nullable ReplicaId leader)
      implements RaftMessage {}

  /** Hands the first configuration to one of its voters that is still empty. */
  record FirstConfiguration(Configuration configuration) implements RaftMessage {}
}
