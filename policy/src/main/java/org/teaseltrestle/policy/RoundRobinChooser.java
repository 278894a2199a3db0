package org.teaseltrestle.policy;

import java.util.List;

/** Chooses servers in turn. Baseline for comparisons. */
final class RoundRobinChooser implements ReplicaChooser {

  private int turn;

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    turn = (turn + 1) & Integer.MAX_VALUE;
    return candidates.get(turn % candidates.size());
  }
}
