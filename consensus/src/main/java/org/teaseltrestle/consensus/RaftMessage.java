package org.teaseltrestle.consensus;

import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;

/** Message from one replica to another. */
public sealed interface RaftMessage {

  /** Whether a vote is a pre-vote, which changes no state, or a vote. */
  enum VoteKind {
    PRE_VOTE,
    VOTE
  }

  /** Steps by which a group is formed or joined. */
  enum FormationStep {
    /** Asks whether the receiver belongs to a group. */
    PROBE,
    /** Responds to a probe. */
    PROBE_ANSWER,
    /** Asks an empty replica to promise its participation in a first configuration. */
    PREPARE,
    /** Gives the promise, once it is durable. */
    PROMISE,
    /** Asks the leader to add the sender as a learner. */
    JOIN
  }

  /** Asks for a vote in {@code term}, or whether the vote would be granted. */
  record VoteRequest(long term, VoteKind kind, long lastIndex, long lastTerm)
      implements RaftMessage {}

  /**
   * Responds to a vote request.
   *
   * @param term requested term if granted, else the current term of the sender
   */
  record VoteResponse(long term, VoteKind kind, boolean granted) implements RaftMessage {}

  /**
   * Heartbeat of the leader, with log entries if there are new ones.
   *
   * @param sentAtNanos leader's monotonic time at the send; the response returns it
   * @param knownAgeNanos time since the send of the latest round that a quorum acknowledged, empty
   *     if there is none
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long sentAtNanos,
      OptionalLong knownAgeNanos)
      implements RaftMessage {}

  /**
   * Responds to an append request once its entries are durable.
   *
   * @param matchIndex last index known to match if successful, else a hint for the next attempt
   */
  record AppendResponse(long term, boolean successful, long matchIndex, long sentAtNanos)
      implements RaftMessage {}

  /** Part of a snapshot of {@code totalLength} bytes, starting at {@code offset}. */
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

  /** Responds to a chunk with the next offset to send; the total length means complete. */
  record SnapshotResponse(long term, long index, int nextOffset, long sentAtNanos)
      implements RaftMessage {}

  /**
   * Step of group formation.
   *
   * @param formed whether the sender belongs to a group
   * @param leader leader known to the sender, null if none
   */
  record Formation(FormationStep step, boolean formed, @Nullable ReplicaId leader)
      implements RaftMessage {}

  /** Sends the first configuration to one of its voters that is still empty. */
  record FirstConfiguration(Configuration configuration) implements RaftMessage {}
}
