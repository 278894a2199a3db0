package org.teaseltrestle.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/** State shared by the parts of a core, and the actions collected while an event is handled. */
final class ReplicaContext {

  final ReplicaId self;
  final RaftSettings settings;
  final RaftLog log;

  long nowNanos;
  double jitter;
  long term;
  @Nullable ReplicaId votedFor;
  RaftRole role = RaftRole.FOLLOWER;
  @Nullable ReplicaId leader;
  @Nullable Leadership leadership;
  long commitIndex;
  long electionDeadlineNanos;

  /** Campaigns that this replica began since it heard a leader or started. */
  int campaignsSinceContact;

  /** Time as of which all committed entries are known here; empty if never. */
  private OptionalLong committedKnownAtNanos = OptionalLong.empty();

  /** No vote is granted before this time, because a leader may hold an authority lease. */
  long refuseVotesUntilNanos;

  private List<RaftAction> actions = new ArrayList<>();

  ReplicaContext(ReplicaId self, RaftSettings settings, RecoveredState recovered, long nowNanos) {
    this.self = self;
    this.settings = settings;
    this.log = new RaftLog(recovered);
    this.term = recovered.hardState().term();
    this.votedFor = recovered.hardState().votedFor();
    this.commitIndex = log.baseIndex();
    this.nowNanos = nowNanos;
    resetElectionDeadline();
    // This replica may have heard from a leader before a restart; that was not stored.
    refuseVotesUntilNanos = nowNanos + settings.electionMinimumNanos();
  }

  void emit(RaftAction action) {
    actions.add(action);
  }

  List<RaftAction> takeActions() {
    List<RaftAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  void send(ReplicaId to, RaftMessage message) {
    emit(new RaftAction.Send(new RaftEnvelope(self, to.instance(), to, message)));
  }

  void send(InstanceId instance, RaftMessage message) {
    emit(new RaftAction.Send(new RaftEnvelope(self, instance, null, message)));
  }

  Configuration configuration() {
    return log.configuration();
  }

  boolean isVoter() {
    return configuration().voters().contains(self);
  }

  void setHardState(long newTerm, @Nullable ReplicaId newVote) {
    if (newTerm < term) {
      throw new TrestleException(ErrorCode.INTERNAL, "term would decrease to " + newTerm);
    }
    term = newTerm;
    votedFor = newVote;
    emit(new RaftAction.SaveHardState(new HardState(newTerm, newVote)));
  }

  void append(List<LogEntry> entries) {
    if (!entries.isEmpty()) {
      entries.forEach(log::append);
      emit(new RaftAction.AppendEntries(entries));
    }
  }

  /** Becomes a follower of a leader, or of none if unknown, in a term not below the current one. */
  void follow(long newTerm, @Nullable ReplicaId newLeader) {
    if (newTerm > term) {
      setHardState(newTerm, null);
    }
    Leadership ended = leadership;
    leadership = null;
    changeRole(RaftRole.FOLLOWER, newLeader);
    if (ended != null) {
      ended.failPending();
      resetElectionDeadline();
    }
  }

  void changeRole(RaftRole newRole, @Nullable ReplicaId newLeader) {
    role = newRole;
    leader = newLeader;
    emit(new RaftAction.RoleChanged(newRole, term, newLeader));
  }

  /** Records that a message of the leader of the current term was received. */
  void recordLeaderContact(ReplicaId from) {
    if (role != RaftRole.FOLLOWER || !from.equals(leader)) {
      follow(term, from);
    }
    refuseVotesUntilNanos = nowNanos + settings.electionMinimumNanos();
    campaignsSinceContact = 0;
    resetElectionDeadline();
  }

  OptionalLong committedKnownAtNanos() {
    return committedKnownAtNanos;
  }

  /** Records that this replica knows all entries that were committed up to a time. */
  void recordCommittedKnown(long atNanos) {
    if (committedKnownAtNanos.isEmpty() || atNanos - committedKnownAtNanos.getAsLong() > 0) {
      committedKnownAtNanos = OptionalLong.of(atNanos);
    }
  }

  boolean refusesVotes() {
    return role == RaftRole.LEADER || nowNanos - refuseVotesUntilNanos < 0;
  }

  void resetElectionDeadline() {
    long range = settings.electionMaximumNanos() - settings.electionMinimumNanos();
    electionDeadlineNanos = nowNanos + settings.electionMinimumNanos() + (long) (jitter * range);
  }

  void advanceCommit(long newCommitIndex) {
    if (newCommitIndex > commitIndex) {
      List<LogEntry> committed = log.range(commitIndex + 1, newCommitIndex);
      commitIndex = newCommitIndex;
      emit(new RaftAction.Apply(committed));
    }
  }
}
