package org.teaseltrestle.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.consensus.RaftEvent.ChangeMembership;
import org.teaseltrestle.consensus.RaftSettings.Membership;
import org.teaseltrestle.model.ReplicaId;

/**
 * Changes the membership by one member at a time: a joining replica becomes a learner, a learner
 * that has caught up becomes a voter, and only then the lost incarnation of its instance is
 * removed.
 */
final class MembershipDriver {

  /** Largest lag behind the commit index, in entries, at which a replica counts as caught up. */
  private static final long MAXIMUM_CAUGHT_UP_LAG = 16;

  /** Smallest number of voters that tolerates the loss of one. */
  private static final int MINIMUM_FAULT_TOLERANT_VOTERS = 3;

  // Without this limit, a learner that fails before its promotion would stay a member forever.
  private static final long MAXIMUM_LEARNER_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ReplicaContext context;
  private final Leadership leadership;

  MembershipDriver(ReplicaContext context, Leadership leadership) {
    this.context = context;
    this.leadership = leadership;
  }

  void onJoin(ReplicaId joining) {
    Configuration current = context.configuration();
    if (!current.isMember(joining)
        && !joining.instance().equals(context.self.instance())
        && mayJoin(joining)
        && mayChange()) {
      appendConfiguration(current.withLearner(joining));
    }
  }

  void request(ChangeMembership request) {
    Configuration current = context.configuration();
    ReplicaId replica = request.replica();
    Optional<Configuration> changed =
        switch (request.change()) {
          case ADD_LEARNER ->
              Optional.of(current)
                  .filter(c -> !c.isMember(replica))
                  .map(c -> c.withLearner(replica));
          case PROMOTE ->
              Optional.of(current)
                  .filter(c -> c.learners().contains(replica))
                  .map(c -> c.withVoter(replica));
          case REMOVE ->
              Optional.of(current)
                  .filter(c -> c.isMember(replica))
                  .map(c -> c.withoutMember(replica))
                  .filter(this::hasLiveQuorum);
        };
    if (changed.isEmpty() || !mayChange()) {
      Refusal refusal = changed.isEmpty() ? Refusal.INVALID : Refusal.OVERLOADED;
      context.emit(new RaftAction.ProposalFailed(request.proposalId(), refusal, context.leader));
      return;
    }
    leadership.propose(request.proposalId(), EntryKind.CONFIGURATION, changed.get().encode());
  }

  void tick() {
    if (!mayChange()) {
      return;
    }
    Configuration current = context.configuration();
    Optional<ReplicaId> replaced = replacedVoter(current);
    if (replaced.isPresent()) {
      appendConfiguration(current.withoutMember(replaced.get()));
      return;
    }
    Optional<ReplicaId> silent = silentVoter(current);
    if (silent.isPresent()) {
      appendConfiguration(current.withoutMember(silent.get()));
      return;
    }
    for (ReplicaId learner : current.learners()) {
      if (hasCaughtUp(learner) && mayPromote(learner, current)) {
        appendConfiguration(current.withVoter(learner));
        return;
      }
      if (silentNanos(learner) > MAXIMUM_LEARNER_SILENCE_NANOS) {
        appendConfiguration(current.withoutMember(learner));
        return;
      }
    }
  }

  /** Steps down if the committed configuration no longer contains this leader. */
  void afterCommit() {
    if (context.leadership == leadership
        && context.log.configurationIndex() <= context.commitIndex
        && !context.isVoter()) {
      context.follow(context.term, null);
    }
  }

  private boolean mayChange() {
    return leadership.hasCommittedInTerm()
        && context.log.configurationIndex() <= context.commitIndex;
  }

  private void appendConfiguration(Configuration changed) {
    leadership.appendEntry(EntryKind.CONFIGURATION, changed.encode());
    leadership.replicate();
  }

  private boolean mayJoin(ReplicaId joining) {
    return context.settings.membership() == Membership.OPEN
        || context.settings.initialVoters().contains(joining.instance());
  }

  /**
   * Returns whether a learner may become a voter: there are fewer voters than the maximum, or it
   * replaces a lost incarnation of its instance.
   */
  private boolean mayPromote(ReplicaId learner, Configuration current) {
    return current.voters().size() < context.settings.maximumVoters()
        || current.voters().stream().anyMatch(id -> id.instance().equals(learner.instance()));
  }

  /**
   * Returns a voter of an open group that has exceeded the silence timeout. Once it is removed, the
   * group tolerates the loss of another voter; if it returns, it asks to join again.
   */
  private Optional<ReplicaId> silentVoter(Configuration current) {
    if (context.settings.membership() != Membership.OPEN
        || current.voters().size() <= MINIMUM_FAULT_TOLERANT_VOTERS) {
      return Optional.empty();
    }
    return current.voters().stream()
        .filter(voter -> !voter.equals(context.self))
        .filter(voter -> silentNanos(voter) > context.settings.silentVoterNanos())
        .filter(voter -> hasLiveQuorum(current.withoutMember(voter)))
        .findFirst();
  }

  /** Returns whether a configuration could progress: a quorum is in contact and caught up. */
  private boolean hasLiveQuorum(Configuration changed) {
    return changed.isQuorum(changed.voters().stream().filter(this::hasCaughtUp).toList());
  }

  private boolean hasCaughtUp(ReplicaId replica) {
    // A learner that lacks the entry of its own configuration may still have an empty log. Promoted
    // like that, it could leave the group without a quorum.
    return leadership.acknowledgedAgeNanos(replica) < context.settings.electionMinimumNanos()
        && leadership.matchIndex(replica) >= context.log.configurationIndex()
        && leadership.matchIndex(replica) + MAXIMUM_CAUGHT_UP_LAG >= context.commitIndex;
  }

  private long silentNanos(ReplicaId replica) {
    return Math.min(leadership.acknowledgedAgeNanos(replica), leadership.nanosSinceElection());
  }

  /** Returns a voter whose instance has a later voter that holds the latest configuration entry. */
  private Optional<ReplicaId> replacedVoter(Configuration current) {
    List<ReplicaId> voters = current.voters();
    for (int later = 0; later < voters.size(); later++) {
      if (leadership.matchIndex(voters.get(later)) < context.log.configurationIndex()) {
        continue;
      }
      for (int earlier = 0; earlier < later; earlier++) {
        if (voters.get(earlier).instance().equals(voters.get(later).instance())) {
          return Optional.of(voters.get(earlier));
        }
      }
    }
    return Optional.empty();
  }
}
