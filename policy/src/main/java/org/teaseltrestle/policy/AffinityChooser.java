package org.teaseltrestle.policy;

import java.util.List;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * Chooses the lowest estimated cost. Reading the shared part of a prompt again costs time, so that
 * requests gather where it is kept until that engine is busier than a second reading is long.
 *
 * <p>Each instance blurs the costs a little, so that instances with the same view do not all choose
 * the same engine of several equal ones.
 */
final class AffinityChooser implements ReplicaChooser {

  /** Part of a cost by which it is blurred at most; estimates are no better than that. */
  private static final double BLUR = 0.15;

  /** Cost added to all before blurring, so that idle engines are spread too. */
  private static final double FLOOR_NANOS = 20e6;

  private static final int FRACTION_BITS = 53;

  private final CostModel costs;

  AffinityChooser(CostModel costs) {
    this.costs = costs;
  }

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    long sample = request.work.sampleBits() + request.attempt;
    Candidate best = candidates.get(0);
    double lowest = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      double cost = costs.cost(request, candidate) + FLOOR_NANOS;
      cost *= 1 + BLUR * fraction(Rendezvous.score(sample, candidate.server().idHash));
      if (cost < lowest) {
        lowest = cost;
        best = candidate;
      }
    }
    return best;
  }

  private static double fraction(long bits) {
    return (double) (bits >>> (Long.SIZE - FRACTION_BITS)) / (1L << FRACTION_BITS);
  }
}
