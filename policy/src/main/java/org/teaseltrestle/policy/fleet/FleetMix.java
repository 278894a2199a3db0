package org.teaseltrestle.policy.fleet;

/**
 * Number of regular and preemptible servers of a pool. Preemptible ones are spread evenly over the
 * failure domains.
 *
 * @param regular number of regular servers
 * @param cheap number of preemptible servers
 */
record FleetMix(int regular, int cheap) {

  /**
   * Requirements that a mix has to satisfy.
   *
   * @param total number of servers that the demand needs
   * @param guaranteed number of servers that must remain when the preemptible servers of one domain
   *     are reclaimed
   * @param minimumRegular number of regular servers for work that may not run on preemptible ones
   * @param maximum number of servers that may be paid for
   * @param domains number of failure domains in which preemptible servers can be ordered
   */
  record Requirements(int total, int guaranteed, int minimumRegular, int maximum, int domains) {}

  /**
   * Returns the mix with the lowest cost that satisfies the requirements, and of equal ones the one
   * with the fewest servers; regular servers only, if no such mix costs less.
   */
  static FleetMix cheapest(Requirements requirements, double cheapPrice) {
    FleetMix best = new FleetMix(requirements.total(), 0);
    for (int regular = requirements.total() - 1;
        regular >= requirements.minimumRegular();
        regular--) {
      int maximumCheap = requirements.domains() == 0 ? 0 : requirements.maximum() - regular;
      for (int cheap = requirements.total() - regular; cheap <= maximumCheap; cheap++) {
        FleetMix mix = new FleetMix(regular, cheap);
        if (mix.cost(cheapPrice) >= best.cost(cheapPrice)) {
          break;
        }
        if (mix.satisfies(requirements)) {
          best = mix;
          break;
        }
      }
    }
    return best;
  }

  /**
   * Returns whether this mix satisfies the requirements, also after the loss of the preemptible
   * servers of any one domain.
   */
  boolean satisfies(Requirements requirements) {
    int largestDomain =
        requirements.domains() == 0 ? cheap : cheapInDomain(0, requirements.domains());
    return regular + cheap >= requirements.total()
        && regular + cheap <= requirements.maximum()
        && regular >= requirements.minimumRegular()
        && regular + cheap - largestDomain >= requirements.guaranteed()
        && (cheap == 0 || requirements.domains() > 0);
  }

  /** Returns the cost, in units of the price of a regular server. */
  double cost(double cheapPrice) {
    return regular + cheap * cheapPrice;
  }

  /** Returns the number of preemptible servers in the domain with this index. */
  int cheapInDomain(int index, int domains) {
    return cheap / domains + (index < cheap % domains ? 1 : 0);
  }
}
