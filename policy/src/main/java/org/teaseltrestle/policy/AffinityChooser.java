package org.teaseltrestle.policy;

import java.util.List;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * Chooses the lowest estimated cost. A repeated prefill of a shared prefix costs time, so requests
 * with the same prefix go to the engine that holds it until waiting there costs more than the
 * prefill.
 *
 * <p>Each instance adds a small random factor to the costs, so that instances with the same view do
 * not all choose the same one of several equal engines.
 */
final class AffinityChooser implements ReplicaChooser {

  /**
   * Maximum random increase of a cost, as a fraction; the estimates are no more accurate than that.
   */
  private static final double MAXIMUM_JITTER = 0.15;

  /**
   * Cost added to all candidates before the random factor, so that it also separates idle engines.
   */
  private static final double BASE_COST_NANOS = 20e6;

  private static final int FRACTION_BITS = 53;

  private final CostModel costs;

  AffinityChooser(CostModel costs) {
    this.costs = costs;
  }

  @Override
  public Candidate choose(RequestState request, List<Candidate> candidates) {
    long sample = request.work.sampleBits() + request.attempt;
    Candidate best = candidates.get(0);
    double lowestCost = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      double cost = costs.cost(request, candidate) + BASE_COST_NANOS;
      cost *= 1 + MAXIMUM_JITTER * fraction(Rendezvous.score(sample, candidate.server().idHash));
      if (cost < lowestCost) {
        lowestCost = cost;
        best = candidate;
      }
    }
    return best;
  }

  private static double fraction(long bits) {
    return (double) (bits >>> (Long.SIZE - FRACTION_BITS)) / (1L << FRACTION_BITS);
  }
}
