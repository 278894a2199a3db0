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
import org.teaseltrestle.consensus.RaftMessage.AppendAnswer;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.SnapshotAnswer;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.model.ReplicaId;

/** One term of leading: replication, commit, reads, authority lease and check-quorum. */
final class Leadership {

  private static final int MAXIMUM_PENDING_READS = 4_096;

  private final ReplicaContext context;
  private final MembershipDriver membership;
  private final Map<ReplicaId, PeerProgress> peers = new HashMap<>();
  private final Deque<PendingProposal> proposals = new ArrayDeque<>();
  private final List<PendingRead> reads = new ArrayList<>();
  private final long electedAtNanos;
  private long firstIndex;
  private long nextHeartbeatNanos;

  private record PendingProposal(long proposalId, long index) {}

  private record PendingRead(long readId, long index, long registeredAtNanos) {}

  Leadership(ReplicaContext context) {
    this.context = context;
    this.membership = new MembershipDriver(context, this);
    this.electedAtNanos = context.nowNanos;
  }

  void start() {
    firstIndex = context.log.lastIndex() + 1;
    appendOwn(EntryKind.NO_OP, new byte[0]);
    broadcast();
  }

  MembershipDriver membership() {
    return membership;
  }

  void tick() {
    long lastContact = quorumSendNanos().orElse(electedAtNanos);
    if (context.nowNanos - lastContact > context.settings.electionMinimumNanos()) {
      context.follow(context.term, null);
      return;
    }
    membership.tick();
    if (context.leadership == this && context.nowNanos - nextHeartbeatNanos >= 0) {
      broadcast();
    }
  }

  void propose(long proposalId, EntryKind kind, byte[] payload) {
    if (proposals.size() >= context.settings.maximumInFlight()) {
      context.emit(new RaftAction.ProposalFailed(proposalId, Refusal.OVERLOADED, context.leader));
      return;
    }
    // Noted before the entry is appended, because a single voter commits it at once.
    long index = context.log.lastIndex() + 1;
    proposals.add(new PendingProposal(proposalId, index));
    context.emit(new RaftAction.ProposalAppended(proposalId, index));
    appendOwn(kind, payload);
    replicate();
  }

  void read(long readId) {
    if (reads.size() >= MAXIMUM_PENDING_READS) {
      context.emit(new RaftAction.ReadFailed(readId, Refusal.OVERLOADED, context.leader));
      return;
    }
    // Entries of earlier terms may be committed without this leader knowing it, until the first
    // entry of its own term is committed.
    long index = Math.max(context.commitIndex, firstIndex);
    reads.add(new PendingRead(readId, index, context.nowNanos));
    broadcast();
    confirmReads();
  }

  /** Appends an entry of the current term. */
  void appendOwn(EntryKind kind, byte[] payload) {
    long index = context.log.lastIndex() + 1;
    context.append(List.of(new LogEntry(index, context.term, kind, payload)));
    if (kind == EntryKind.CONFIGURATION) {
      peers.keySet().retainAll(context.configuration().members());
    }
    commitMatched();
  }

  /** Sends new entries to the members that await no answer. */
  void replicate() {
    for (ReplicaId member : context.configuration().members()) {
      if (!member.equals(context.self) && !progress(member).awaitingAnswer) {
        sendNext(member);
      }
    }
  }

  void onAppendAnswer(ReplicaId from, AppendAnswer answer) {
    PeerProgress peer = answering(from, answer.term(), answer.sentAtNanos());
    if (peer == null) {
      return;
    }
    if (answer.successful()) {
      peer.matched(answer.matchIndex());
    } else {
      long hint = Math.min(peer.nextIndex - 1, answer.matchIndex() + 1);
      peer.nextIndex = Math.max(peer.matchIndex + 1, hint);
    }
    afterAnswer(from, peer, !answer.successful());
  }

  void onSnapshotAnswer(ReplicaId from, SnapshotAnswer answer) {
    PeerProgress peer = answering(from, answer.term(), answer.sentAtNanos());
    Snapshot transfer = peer == null ? null : peer.transfer;
    if (peer == null || transfer == null || transfer.index() != answer.index()) {
      return;
    }
    peer.transferOffset = answer.nextOffset();
    if (answer.nextOffset() >= transfer.data().length) {
      peer.transfer = null;
      peer.matched(transfer.index());
    }
    afterAnswer(from, peer, true);
  }

  void resign() {
    for (PendingProposal proposal : proposals) {
      context.emit(
          new RaftAction.ProposalFailed(
              proposal.proposalId(), Refusal.OUTCOME_UNKNOWN, context.leader));
    }
    for (PendingRead read : reads) {
      context.emit(new RaftAction.ReadFailed(read.readId(), Refusal.NOT_LEADER, context.leader));
    }
  }

  /** Returns the send time of the newest round that a quorum has answered, if any. */
  OptionalLong quorumSendNanos() {
    List<ReplicaId> voters = context.configuration().voters();
    long[] ages =
        voters.stream()
            .mapToLong(this::acknowledgedAgeNanos)
            .sorted()
            .limit(context.configuration().quorumSize())
            .toArray();
    long oldest = ages.length == 0 ? Long.MAX_VALUE : ages[ages.length - 1];
    return oldest == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(context.nowNanos - oldest);
  }

  boolean hasCommittedInTerm() {
    return context.commitIndex >= firstIndex;
  }

  /** Returns how long ago the request was sent that a member answered last. */
  long acknowledgedAgeNanos(ReplicaId member) {
    if (member.equals(context.self)) {
      return 0;
    }
    PeerProgress peer = progress(member);
    return peer.acknowledged ? context.nowNanos - peer.acknowledgedSendNanos : Long.MAX_VALUE;
  }

  long leadingNanos() {
    return context.nowNanos - electedAtNanos;
  }

  long matchIndex(ReplicaId member) {
    return member.equals(context.self) ? context.log.lastIndex() : progress(member).matchIndex;
  }

  private PeerProgress progress(ReplicaId member) {
    return peers.computeIfAbsent(member, id -> new PeerProgress(context.log.lastIndex() + 1));
  }

  private @Nullable PeerProgress answering(ReplicaId from, long term, long sentAtNanos) {
    if (term != context.term || !context.configuration().isMember(from)) {
      return null;
    }
    PeerProgress peer = progress(from);
    peer.acknowledge(sentAtNanos);
    return peer;
  }

  private void afterAnswer(ReplicaId from, PeerProgress peer, boolean resend) {
    final long oldCommitIndex = context.commitIndex;
    commitMatched();
    confirmReads();
    if (context.leadership == this && context.commitIndex > oldCommitIndex) {
      // Without this the other members would apply the entries only at the next heartbeat.
      replicate();
    }
    boolean more = resend || peer.nextIndex <= context.log.lastIndex();
    if (context.leadership == this && more && !peer.awaitingAnswer) {
      sendNext(from);
    }
  }

  private void broadcast() {
    nextHeartbeatNanos = context.nowNanos + context.settings.heartbeatNanos();
    for (ReplicaId member : context.configuration().members()) {
      if (!member.equals(context.self)) {
        sendNext(member);
      }
    }
  }

  private void sendNext(ReplicaId member) {
    PeerProgress peer = progress(member);
    Snapshot snapshot = context.log.snapshot();
    if (peer.transfer == null && peer.nextIndex <= context.log.baseIndex() && snapshot != null) {
      peer.transfer = snapshot;
      peer.transferOffset = 0;
    }
    peer.requestSent(context.nowNanos);
    context.send(member, peer.transfer != null ? chunk(peer, peer.transfer) : entries(peer));
  }

  private AppendRequest entries(PeerProgress peer) {
    RaftLog log = context.log;
    long previous = peer.nextIndex - 1;
    List<LogEntry> batch =
        previous < log.lastIndex()
            ? log.batch(peer.nextIndex, context.settings.maximumAppendBytes())
            : List.of();
    return new AppendRequest(
        context.term, previous, log.termAt(previous), batch, context.commitIndex, context.nowNanos);
  }

  private SnapshotChunk chunk(PeerProgress peer, Snapshot snapshot) {
    byte[] data = snapshot.data();
    int offset = Math.min(peer.transferOffset, data.length);
    int end = Math.min(data.length, offset + context.settings.snapshotChunkBytes());
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

  private void commitMatched() {
    Configuration configuration = context.configuration();
    long[] matches = configuration.voters().stream().mapToLong(this::matchIndex).sorted().toArray();
    long matched = matches.length == 0 ? 0 : matches[matches.length - configuration.quorumSize()];
    if (matched <= context.commitIndex || context.log.termAt(matched) != context.term) {
      return;
    }
    context.advanceCommit(matched);
    while (!proposals.isEmpty() && proposals.peek().index() <= matched) {
      PendingProposal done = proposals.remove();
      context.emit(new RaftAction.ProposalCommitted(done.proposalId(), done.index()));
    }
    membership.afterCommit();
  }

  private void confirmReads() {
    OptionalLong confirmed = quorumSendNanos();
    if (confirmed.isEmpty()) {
      return;
    }
    reads.removeIf(
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
