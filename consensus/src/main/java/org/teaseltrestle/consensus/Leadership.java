package org.teaseltrestle.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.AppendResponse;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.consensus.RaftMessage.SnapshotResponse;
import org.teaseltrestle.model.ReplicaId;

/**
 * State of a leader during one term: log replication, commitment, linearizable reads, the authority
 * lease and check-quorum.
 */
final class Leadership {

  private static final int MAXIMUM_PENDING_READS = 4_096;

  private final ReplicaContext context;
  private final MembershipDriver membership;
  private final Map<ReplicaId, PeerProgress> peers = new HashMap<>();
  private final Deque<PendingProposal> pendingProposals = new ArrayDeque<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final long electedAtNanos;
  private long firstIndexOfTerm;
  private long nextHeartbeatNanos;
  private long pendingProposalBytes;

  private record PendingProposal(long proposalId, long index, int bytes) {}

  private record PendingRead(long readId, long index, long registeredAtNanos) {}

  Leadership(ReplicaContext context) {
    this.context = context;
    this.membership = new MembershipDriver(context, this);
    this.electedAtNanos = context.nowNanos;
  }

  void start() {
    firstIndexOfTerm = context.log.lastIndex() + 1;
    appendEntry(EntryKind.NO_OP, new byte[0]);
    broadcast();
  }

  MembershipDriver membership() {
    return membership;
  }

  void tick() {
    long lastQuorumContactNanos = lastQuorumRoundSentAtNanos().orElse(electedAtNanos);
    if (context.nowNanos - lastQuorumContactNanos > context.settings.electionMinimumNanos()) {
      context.follow(context.term, null);
      return;
    }
    membership.tick();
    if (context.leadership == this && context.nowNanos - nextHeartbeatNanos >= 0) {
      broadcast();
    }
  }

  void propose(long proposalId, EntryKind kind, byte[] payload) {
    boolean tooManyBytes =
        !pendingProposals.isEmpty()
            && pendingProposalBytes + payload.length > context.settings.maximumInFlightBytes();
    if (tooManyBytes || pendingProposals.size() >= context.settings.maximumInFlight()) {
      context.emit(new RaftAction.ProposalFailed(proposalId, Refusal.OVERLOADED, context.leader));
      return;
    }
    // Recorded before the entry is appended, because a single voter commits it immediately.
    long index = context.log.lastIndex() + 1;
    pendingProposals.add(new PendingProposal(proposalId, index, payload.length));
    pendingProposalBytes += payload.length;
    context.emit(new RaftAction.ProposalAppended(proposalId, index));
    appendEntry(kind, payload);
    replicate();
  }

  void read(long readId) {
    if (pendingReads.size() >= MAXIMUM_PENDING_READS) {
      context.emit(new RaftAction.ReadFailed(readId, Refusal.OVERLOADED, context.leader));
      return;
    }
    // Until the first entry of its own term is committed, this leader may not know that entries of
    // earlier terms are committed.
    long index = Math.max(context.commitIndex, firstIndexOfTerm);
    pendingReads.add(new PendingRead(readId, index, context.nowNanos));
    broadcast();
    confirmReads();
  }

  /** Appends an entry of the current term. */
  void appendEntry(EntryKind kind, byte[] payload) {
    long index = context.log.lastIndex() + 1;
    context.append(List.of(new LogEntry(index, context.term, kind, payload)));
    if (kind == EntryKind.CONFIGURATION) {
      peers.keySet().retainAll(context.configuration().members());
    }
    commitReplicated();
  }

  /** Sends new entries, or the commit index, to the members that wait for no response. */
  void replicate() {
    for (ReplicaId member : context.configuration().members()) {
      if (!member.equals(context.self) && mayAdvance(progress(member))) {
        sendNext(member);
      }
    }
  }

  void onAppendResponse(ReplicaId from, AppendResponse response) {
    PeerProgress peer = recordResponse(from, response.term(), response.sentAtNanos());
    if (peer == null) {
      return;
    }
    if (response.successful()) {
      peer.recordMatch(response.matchIndex());
    } else {
      long hint = Math.min(peer.nextIndex - 1, response.matchIndex() + 1);
      peer.nextIndex = Math.max(peer.matchIndex + 1, hint);
    }
    afterResponse(from, peer, !response.successful());
  }

  void onSnapshotResponse(ReplicaId from, SnapshotResponse response) {
    PeerProgress peer = recordResponse(from, response.term(), response.sentAtNanos());
    Snapshot sending = peer == null ? null : peer.snapshotInTransfer;
    if (peer == null || sending == null || sending.index() != response.index()) {
      return;
    }
    peer.snapshotOffset = response.nextOffset();
    if (response.nextOffset() >= sending.data().length) {
      peer.snapshotInTransfer = null;
      peer.recordMatch(sending.index());
    }
    afterResponse(from, peer, true);
  }

  void failPending() {
    for (PendingProposal proposal : pendingProposals) {
      context.emit(
          new RaftAction.ProposalFailed(
              proposal.proposalId(), Refusal.OUTCOME_UNKNOWN, context.leader));
    }
    for (PendingRead read : pendingReads) {
      context.emit(new RaftAction.ReadFailed(read.readId(), Refusal.NOT_LEADER, context.leader));
    }
  }

  /** Returns the send time of the latest heartbeat round that a quorum acknowledged, if any. */
  OptionalLong lastQuorumRoundSentAtNanos() {
    List<ReplicaId> voters = context.configuration().voters();
    long[] acknowledgedAges =
        voters.stream()
            .mapToLong(this::acknowledgedAgeNanos)
            .sorted()
            .limit(context.configuration().quorumSize())
            .toArray();
    long oldest =
        acknowledgedAges.length == 0
            ? Long.MAX_VALUE
            : acknowledgedAges[acknowledgedAges.length - 1];
    return oldest == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(context.nowNanos - oldest);
  }

  boolean hasCommittedInTerm() {
    return context.commitIndex >= firstIndexOfTerm;
  }

  /**
   * Returns the time since the send of the latest request that a member acknowledged; {@link
   * Long#MAX_VALUE} if it acknowledged none in this term.
   */
  long acknowledgedAgeNanos(ReplicaId member) {
    if (member.equals(context.self)) {
      return 0;
    }
    PeerProgress peer = progress(member);
    return peer.acknowledged ? context.nowNanos - peer.acknowledgedSendNanos : Long.MAX_VALUE;
  }

  long nanosSinceElection() {
    return context.nowNanos - electedAtNanos;
  }

  long matchIndex(ReplicaId member) {
    return member.equals(context.self) ? context.log.lastIndex() : progress(member).matchIndex;
  }

  private PeerProgress progress(ReplicaId member) {
    return peers.computeIfAbsent(member, id -> new PeerProgress(context.log.lastIndex() + 1));
  }

  private @Nullable PeerProgress recordResponse(ReplicaId from, long term, long sentAtNanos) {
    if (term != context.term || !context.configuration().isMember(from)) {
      return null;
    }
    PeerProgress peer = progress(from);
    peer.recordAcknowledgement(sentAtNanos);
    return peer;
  }

  private void afterResponse(ReplicaId from, PeerProgress peer, boolean mustSend) {
    final long oldCommitIndex = context.commitIndex;
    commitReplicated();
    confirmReads();
    if (context.leadership == this && context.commitIndex > oldCommitIndex) {
      // Otherwise the other members would apply the entries only after the next heartbeat.
      replicate();
    }
    boolean more = mustSend || lacksContent(peer);
    if (context.leadership == this && more && mayAdvance(peer)) {
      sendNext(from);
    }
  }

  private boolean lacksContent(PeerProgress peer) {
    return peer.snapshotInTransfer != null || peer.nextIndex <= context.log.lastIndex();
  }

  /** Returns whether the next request to a member would not repeat one that is on its way. */
  private boolean mayAdvance(PeerProgress peer) {
    return !peer.contentInFlight && (lacksContent(peer) || !peer.requestInFlight);
  }

  private void broadcast() {
    nextHeartbeatNanos = context.nowNanos + context.settings.heartbeatNanos();
    for (ReplicaId member : context.configuration().members()) {
      if (!member.equals(context.self)) {
        sendNext(member);
      }
    }
  }

  /**
   * Sends a member what it lacks next. While that is on its way, the request has no content: its
   * response confirms reads and the lease, and shows whether the content is lost.
   */
  private void sendNext(ReplicaId member) {
    PeerProgress peer = progress(member);
    Snapshot snapshot = context.log.snapshot();
    if (peer.snapshotInTransfer == null
        && peer.nextIndex <= context.log.baseIndex()
        && snapshot != null) {
      peer.startTransfer(snapshot);
    }
    boolean withContent = lacksContent(peer) && !peer.contentInFlight;
    peer.recordSend(context.nowNanos, withContent);
    context.send(
        member,
        peer.snapshotInTransfer != null
            ? nextChunk(peer, peer.snapshotInTransfer, withContent)
            : appendRequest(peer, withContent));
  }

  private AppendRequest appendRequest(PeerProgress peer, boolean withEntries) {
    RaftLog log = context.log;
    long previous = peer.nextIndex - 1;
    List<LogEntry> batch =
        withEntries ? log.batch(peer.nextIndex, context.settings.maximumAppendBytes()) : List.of();
    return new AppendRequest(
        context.term,
        previous,
        log.termAt(previous),
        batch,
        context.commitIndex,
        context.nowNanos,
        knownAgeNanos());
  }

  private OptionalLong knownAgeNanos() {
    OptionalLong confirmed = lastQuorumRoundSentAtNanos();
    return confirmed.isPresent()
        ? OptionalLong.of(context.nowNanos - confirmed.getAsLong())
        : confirmed;
  }

  private SnapshotChunk nextChunk(PeerProgress peer, Snapshot snapshot, boolean withData) {
    byte[] data = snapshot.data();
    int offset = Math.min(peer.snapshotOffset, data.length);
    int length = withData ? context.settings.snapshotChunkBytes() : 0;
    int end = Math.min(data.length, offset + length);
    return new SnapshotChunk(
        context.term,
        snapshot.index(),
        snapshot.term(),
        snapshot.configuration(),
        data.length,
        offset,
        Arrays.copyOfRange(data, offset, end),
        context.nowNanos);
  }

  private void commitReplicated() {
    Configuration configuration = context.configuration();
    long[] matches = configuration.voters().stream().mapToLong(this::matchIndex).sorted().toArray();
    long replicated =
        matches.length == 0 ? 0 : matches[matches.length - configuration.quorumSize()];
    if (replicated <= context.commitIndex || context.log.termAt(replicated) != context.term) {
      return;
    }
    context.advanceCommit(replicated);
    while (!pendingProposals.isEmpty() && pendingProposals.peek().index() <= replicated) {
      PendingProposal committed = pendingProposals.remove();
      pendingProposalBytes -= committed.bytes();
      context.emit(new RaftAction.ProposalCommitted(committed.proposalId(), committed.index()));
    }
    membership.afterCommit();
  }

  private void confirmReads() {
    OptionalLong confirmed = lastQuorumRoundSentAtNanos();
    if (confirmed.isEmpty()) {
      return;
    }
    pendingReads.removeIf(
        read -> {
          boolean ready =
              confirmed.getAsLong() - read.registeredAtNanos() >= 0
                  && context.commitIndex >= read.index();
          if (ready) {
            context.emit(new RaftAction.ReadConfirmed(read.readId(), read.index()));
          }
          return ready;
        });
  }
}
