package org.teaseltrestle.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/**
 * The Raft protocol as a deterministic state machine that turns events into actions. It uses no
 * socket, thread, clock or random source and is not thread-safe.
 *
 * <p>The actions of one call, or of several consecutive calls, are executed in two passes: first
 * all {@link RaftAction.StorageAction}s in order, followed by one sync; then the others in order.
 * If storage fails, the core must not be used again.
 */
public final class RaftCore {

  private final ReplicaContext context;
  private final Elections elections;
  private final FollowerLog followerLog;
  private final GroupFormation formation;

  /**
   * Creates a follower from the state that the replica recovered from its storage.
   *
   * @param nowNanos monotonic time of this replica
   */
  public RaftCore(ReplicaId self, RaftSettings settings, RecoveredState recovered, long nowNanos) {
    this.context = new ReplicaContext(self, settings, recovered, nowNanos);
    this.elections = new Elections(context);
    this.followerLog = new FollowerLog(context);
    this.formation = new GroupFormation(context);
  }

  /**
   * Handles an event.
   *
   * @param nowNanos monotonic time of this replica
   * @throws TrestleException with {@link ErrorCode#INTERNAL} if an invariant is violated: the
   *     replica must stop
   */
  public List<RaftAction> handle(RaftEvent event, long nowNanos) {
    context.nowNanos = nowNanos;
    if (event instanceof RaftEvent.Received received) {
      RaftEnvelope envelope = received.envelope();
      if (envelope.to() == null || envelope.to().equals(context.self)) {
        onMessage(envelope.from(), envelope.message());
      }
    } else if (event instanceof RaftEvent.Tick tick) {
      onTick(tick.jitter());
    } else if (event instanceof RaftEvent.SnapshotTaken taken) {
      onSnapshotTaken(taken);
    } else {
      onLocalRequest(event);
    }
    Leadership leadership = context.leadership;
    if (leadership != null && leadership.hasCommittedInTerm()) {
      leadership.lastQuorumRoundSentAtNanos().ifPresent(context::recordCommittedKnown);
    }
    return context.takeActions();
  }

  /** Returns this replica's identity. */
  public ReplicaId self() {
    return context.self;
  }

  /** Returns the current role. */
  public RaftRole role() {
    return context.role;
  }

  /** Returns the current term. */
  public long term() {
    return context.term;
  }

  /** Returns the leader of the current term, if known. */
  public @Nullable ReplicaId leader() {
    return context.leader;
  }

  /** Returns the index of the last entry known to be committed. */
  public long commitIndex() {
    return context.commitIndex;
  }

  /** Returns the index of the last entry in the log. */
  public long lastIndex() {
    return context.log.lastIndex();
  }

  /** Returns the latest configuration in the log, committed or not. */
  public Configuration configuration() {
    return context.configuration();
  }

  /**
   * Returns the latest configuration in the log if it is committed and this replica leads, after it
   * has committed an entry of its own term.
   */
  public Optional<Configuration> committedConfiguration() {
    boolean committed =
        hasCommittedInCurrentTerm() && context.log.configurationIndex() <= context.commitIndex;
    return committed ? Optional.of(context.configuration()) : Optional.empty();
  }

  /** Returns whether this replica is the leader and has committed an entry of its own term. */
  public boolean hasCommittedInCurrentTerm() {
    return context.leadership != null && context.leadership.hasCommittedInTerm();
  }

  /**
   * Returns the monotonic time of this replica at which its authority lease ends, or empty if it
   * holds none. The owner publishes the value after each event; the lease is valid strictly before
   * it.
   */
  public OptionalLong authorityLeaseEndNanos() {
    Leadership leadership = context.leadership;
    OptionalLong quorumSentAt =
        leadership == null ? OptionalLong.empty() : leadership.lastQuorumRoundSentAtNanos();
    return quorumSentAt.isPresent()
        ? OptionalLong.of(quorumSentAt.getAsLong() + context.settings.leaseNanos())
        : OptionalLong.empty();
  }

  /**
   * Returns the monotonic time of this replica as of which it knows all committed entries, or empty
   * if it never did: the send of the latest round that a quorum acknowledged if this replica leads,
   * otherwise the latest message of a leader whose committed entries are all here, less the age of
   * that round. A leader counts once it has committed an entry of its own term.
   */
  public OptionalLong committedKnownAtNanos() {
    return context.committedKnownAtNanos();
  }

  RaftLog log() {
    return context.log;
  }

  private void onTick(double jitter) {
    context.jitter = jitter;
    if (context.leadership != null) {
      context.leadership.tick();
    } else {
      formation.tick();
      elections.tick();
    }
  }

  private void onMessage(ReplicaId from, RaftMessage message) {
    if (message instanceof RaftMessage.AppendRequest request) {
      followerLog.onAppendRequest(from, request);
    } else if (message instanceof RaftMessage.AppendResponse response) {
      onResponse(response.term(), leadership -> leadership.onAppendResponse(from, response));
    } else if (message instanceof RaftMessage.VoteRequest request) {
      elections.onVoteRequest(from, request);
    } else if (message instanceof RaftMessage.VoteResponse response) {
      elections.onVoteResponse(from, response);
    } else if (message instanceof RaftMessage.SnapshotChunk chunk) {
      followerLog.onSnapshotChunk(from, chunk);
    } else if (message instanceof RaftMessage.SnapshotResponse response) {
      onResponse(response.term(), leadership -> leadership.onSnapshotResponse(from, response));
    } else if (message instanceof RaftMessage.Formation step) {
      formation.onFormation(from, step);
    } else if (message instanceof RaftMessage.FirstConfiguration first) {
      formation.onFirstConfiguration(from, first);
    }
  }

  private void onResponse(long term, Consumer<Leadership> handler) {
    if (term > context.term) {
      context.follow(term, null);
    } else if (context.leadership != null) {
      handler.accept(context.leadership);
    }
  }

  private void onLocalRequest(RaftEvent event) {
    Leadership leadership = context.leadership;
    ReplicaId leader = context.leader;
    if (event instanceof RaftEvent.Propose propose) {
      if (leadership == null) {
        failProposal(propose.proposalId(), leader);
      } else {
        leadership.propose(propose.proposalId(), EntryKind.COMMAND, propose.command());
      }
    } else if (event instanceof RaftEvent.ChangeMembership change) {
      if (leadership == null) {
        failProposal(change.proposalId(), leader);
      } else {
        leadership.membership().request(change);
      }
    } else if (event instanceof RaftEvent.ReadIndex read) {
      if (leadership == null) {
        context.emit(new RaftAction.ReadFailed(read.readId(), Refusal.NOT_LEADER, leader));
      } else {
        leadership.read(read.readId());
      }
    }
  }

  private void failProposal(long proposalId, @Nullable ReplicaId leader) {
    context.emit(new RaftAction.ProposalFailed(proposalId, Refusal.NOT_LEADER, leader));
  }

  private void onSnapshotTaken(RaftEvent.SnapshotTaken taken) {
    RaftLog log = context.log;
    Snapshot previous = log.snapshot();
    if (taken.index() > context.commitIndex
        || taken.index() < log.baseIndex()
        || (previous != null && previous.index() >= taken.index())) {
      return;
    }
    Snapshot snapshot =
        new Snapshot(
            taken.index(),
            log.termAt(taken.index()),
            log.configurationAt(taken.index()),
            taken.data());
    log.compact(snapshot, context.settings.retainedEntries(), context.settings.retainedBytes());
    context.emit(new RaftAction.SaveSnapshot(snapshot, StoredEntries.PRUNE, log.baseIndex() + 1));
  }
}
