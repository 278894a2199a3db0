package org.teaseltrestle.consensus;

import java.util.HashSet;
import java.util.Set;
import org.teaseltrestle.consensus.RaftMessage.VoteKind;
import org.teaseltrestle.consensus.RaftMessage.VoteRequest;
import org.teaseltrestle.consensus.RaftMessage.VoteResponse;
import org.teaseltrestle.model.ReplicaId;

/** Leader election with pre-vote: campaigns of this replica and its votes for other candidates. */
final class Elections {

  private final ReplicaContext context;
  private final Set<ReplicaId> votes = new HashSet<>();

  /** Replicas that refused a vote in the current campaign. */
  private final Set<ReplicaId> refusals = new HashSet<>();

  Elections(ReplicaContext context) {
    this.context = context;
  }

  void tick() {
    if (context.nowNanos - context.electionDeadlineNanos < 0) {
      return;
    }
    if (mayCampaign()) {
      campaign(VoteKind.PRE_VOTE);
    } else if (context.leader != null) {
      // A removed learner must forget its leader, because only then does it ask to join again.
      context.follow(context.term, null);
    }
  }

  /**
   * Responds to a candidate. A replica with an empty log votes too: the candidate addresses this
   * incarnation, so its configuration has this replica as a voter, and a replica that lost its log
   * would have a new incarnation.
   */
  void onVoteRequest(ReplicaId from, VoteRequest request) {
    boolean granted =
        request.kind() == VoteKind.PRE_VOTE ? grantsPreVote(from, request) : vote(from, request);
    long term = granted ? request.term() : context.term;
    context.send(from, new VoteResponse(term, request.kind(), granted));
  }

  void onVoteResponse(ReplicaId from, VoteResponse response) {
    if (!response.granted()) {
      refusals.add(from);
      if (response.term() > context.term) {
        context.follow(response.term(), null);
      }
      return;
    }
    boolean preVote = response.kind() == VoteKind.PRE_VOTE;
    RaftRole expectedRole = preVote ? RaftRole.PRE_CANDIDATE : RaftRole.CANDIDATE;
    long expectedTerm = preVote ? context.term + 1 : context.term;
    if (context.role == expectedRole && response.term() == expectedTerm) {
      votes.add(from);
      countVotes(response.kind());
    }
  }

  /**
   * Returns whether this replica campaigns. A replica whose removal is not known to be committed
   * does, because it may hold the only complete log.
   */
  private boolean mayCampaign() {
    return context.isVoter()
        || context.log.configurationAt(context.commitIndex).voters().contains(context.self);
  }

  private boolean grantsPreVote(ReplicaId from, VoteRequest request) {
    if (request.term() <= context.term || context.refusesVotes()) {
      return false;
    }
    if (!isUpToDate(request)) {
      campaignAtNextTick();
      return false;
    }
    if (isTied(request) && !refusals.contains(from)) {
      if (from.compareTo(context.self) < 0) {
        // The other one may have missed the request of this replica.
        context.send(from, preVoteRequest());
        return false;
      }
      context.changeRole(RaftRole.FOLLOWER, null);
    }
    return true;
  }

  /**
   * Returns whether this replica campaigns with an equal log. Then the one with the higher id goes
   * on, because two candidates would take the votes from each other. This holds for the first
   * campaign since a leader was heard: if it fails, the other one may reach voters that this one
   * does not.
   */
  private boolean isTied(VoteRequest request) {
    return context.role == RaftRole.PRE_CANDIDATE
        && context.campaignsSinceContact == 1
        && request.lastTerm() == context.log.lastTerm()
        && request.lastIndex() == context.log.lastIndex();
  }

  /**
   * Ends the wait of this replica for its own timeout: a candidate has shown that there is no
   * leader, and needs a vote that only this replica's log is good enough for.
   */
  private void campaignAtNextTick() {
    boolean mayLead = context.role == RaftRole.FOLLOWER || context.role == RaftRole.PRE_CANDIDATE;
    if (mayLead && mayCampaign() && context.electionDeadlineNanos - context.nowNanos > 0) {
      context.electionDeadlineNanos = context.nowNanos;
    }
  }

  private boolean vote(ReplicaId from, VoteRequest request) {
    if (request.term() < context.term || context.refusesVotes()) {
      return false;
    }
    if (request.term() > context.term) {
      context.follow(request.term(), null);
    }
    boolean voteAvailable = context.votedFor == null || from.equals(context.votedFor);
    if (!voteAvailable || !isUpToDate(request)) {
      return false;
    }
    if (context.votedFor == null) {
      context.setHardState(context.term, from);
    }
    context.resetElectionDeadline();
    return true;
  }

  private boolean isUpToDate(VoteRequest request) {
    long lastTerm = context.log.lastTerm();
    return request.lastTerm() > lastTerm
        || (request.lastTerm() == lastTerm && request.lastIndex() >= context.log.lastIndex());
  }

  private void campaign(VoteKind kind) {
    votes.clear();
    votes.add(context.self);
    refusals.clear();
    long requestedTerm = context.term + 1;
    if (kind == VoteKind.VOTE) {
      context.setHardState(requestedTerm, context.self);
      context.changeRole(RaftRole.CANDIDATE, null);
    } else {
      context.campaignsSinceContact++;
      context.changeRole(RaftRole.PRE_CANDIDATE, null);
    }
    context.resetElectionDeadline();
    VoteRequest request =
        new VoteRequest(requestedTerm, kind, context.log.lastIndex(), context.log.lastTerm());
    context.configuration().voters().stream()
        .filter(voter -> !voter.equals(context.self))
        .forEach(voter -> context.send(voter, request));
    countVotes(kind);
  }

  private VoteRequest preVoteRequest() {
    return new VoteRequest(
        context.term + 1, VoteKind.PRE_VOTE, context.log.lastIndex(), context.log.lastTerm());
  }

  private void countVotes(VoteKind kind) {
    if (!context.configuration().isQuorum(votes)) {
      return;
    }
    if (kind == VoteKind.PRE_VOTE) {
      campaign(VoteKind.VOTE);
    } else {
      context.leadership = new Leadership(context);
      context.changeRole(RaftRole.LEADER, context.self);
      context.leadership.start();
    }
  }
}
