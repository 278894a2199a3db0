package org.teaseltrestle.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.consensus.RaftEvent.ChangeMembership;
import org.teaseltrestle.consensus.RaftSettings.Membership;
import org.teaseltrestle.model.ReplicaId;

/**
 * Changes the members one at a time: a joining replica becomes a learner, a learner that has caught
 * up becomes a voter, and only then the lost identity of its instance is removed.
 */
final class MembershipDriver {

  /** Largest distance to the commit index at which a learner counts as caught up. */
  private static final long CAUGHT_UP_ENTRIES = 16;

  /** Fewest voters that survive the loss of one. */
  private static final int LEAST_VOTERS = 3;

  // A learner lost again before it became a voter would stay a member for ever.
  private static final long LEARNER_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

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
      change(current.withLearner(joining));
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
      change(current.withoutMember(replaced.get()));
      return;
    }
    Optional<ReplicaId> silent = silentVoter(current);
    if (silent.isPresent()) {
      change(current.withoutMember(silent.get()));
      return;
    }
    for (ReplicaId learner : current.learners()) {
      if (hasCaughtUp(learner) && hasPlaceFor(learner, current)) {
        change(current.withVoter(learner));
        return;
      }
      if (silentNanos(learner) > LEARNER_SILENCE_NANOS) {
        change(current.withoutMember(learner));
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

  private void change(Configuration changed) {
    leadership.appendOwn(EntryKind.CONFIGURATION, changed.encode());
    leadership.replicate();
  }

  private boolean mayJoin(ReplicaId joining) {
    return context.settings.membership() == Membership.OPEN
        || context.settings.initialVoters().contains(joining.instance());
  }

  /** Tells whether a learner may vote: within the most voters, or in place of a lost identity. */
  private boolean hasPlaceFor(ReplicaId learner, Configuration current) {
    return current.voters().size() < context.settings.maximumVoters()
        || current.voters().stream().anyMatch(id -> id.instance().equals(learner.instance()));
  }

  /**
   * Returns a voter of an open group that has been silent for long. Without it the group survives
   * the loss of another voter; a removed voter that comes back asks to join again.
   */
  private Optional<ReplicaId> silentVoter(Configuration current) {
    if (context.settings.membership() != Membership.OPEN
        || current.voters().size() <= LEAST_VOTERS) {
      return Optional.empty();
    }
    return current.voters().stream()
        .filter(voter -> !voter.equals(context.self))
        .filter(voter -> silentNanos(voter) > context.settings.silentVoterNanos())
        .filter(voter -> hasLiveQuorum(current.withoutMember(voter)))
        .findFirst();
  }

  /** Tells whether a group could go on at once: a quorum of it is in contact and caught up. */
  private boolean hasLiveQuorum(Configuration changed) {
    return changed.isQuorum(changed.voters().stream().filter(this::hasCaughtUp).toList());
  }

  private boolean hasCaughtUp(ReplicaId replica) {
    // A learner without its own configuration entry may still be empty, and an empty replica does
    // not vote: as a voter it could leave the group without a quorum.
    return leadership.acknowledgedAgeNanos(replica) < context.settings.electionMinimumNanos()
        && leadership.matchIndex(replica) >= context.log.configurationIndex()
        && leadership.matchIndex(replica) + CAUGHT_UP_ENTRIES >= context.commitIndex;
  }

  private long silentNanos(ReplicaId replica) {
    return Math.min(leadership.acknowledgedAgeNanos(replica), leadership.leadingNanos());
  }

  /** Returns a voter whose instance has a newer voter that holds the whole configuration log. */
  private Optional<ReplicaId> replacedVoter(Configuration current) {
    List<ReplicaId> voters = current.voters();
    for (int newer = 0; newer < voters.size(); newer++) {
      if (leadership.matchIndex(voters.get(newer)) < context.log.configurationIndex()) {
        continue;
      }
      for (int older = 0; older < newer; older++) {
        if (voters.get(older).instance().equals(voters.get(newer).instance())) {
          return Optional.of(voters.get(older));
        }
      }
    }
    return Optional.empty();
  }
}
