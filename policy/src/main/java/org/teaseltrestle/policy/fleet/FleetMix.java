package org.teaseltrestle.policy.fleet;

/**
 * Numbers of regular and cheap servers of a pool. Cheap ones are spread evenly over the failure
 * domains.
 *
 * @param regular regular servers
 * @param cheap cheap servers
 */
record FleetMix(int regular, int cheap) {

  /**
   * What a mix has to fulfil.
   *
   * @param total servers for the demand
   * @param promised servers that must be left when one domain's cheap servers vanish
   * @param leastRegular regular servers for work that cheap ones may not run
   * @param most servers that may be paid for
   * @param domains failure domains in which cheap servers can be ordered
   */
  record Need(int total, int promised, int leastRegular, int most, int domains) {}

  /** Returns the mix of the lowest cost, and of those the one with the fewest servers. */
  static FleetMix cheapest(Need need, double cheapPrice) {
    FleetMix best = new FleetMix(need.total(), 0);
    for (int regular = need.total() - 1; regular >= need.leastRegular(); regular--) {
      int most = need.domains() == 0 ? 0 : need.most() - regular;
      for (int cheap = need.total() - regular; cheap <= most; cheap++) {
        FleetMix mix = new FleetMix(regular, cheap);
        if (mix.cost(cheapPrice) >= best.cost(cheapPrice)) {
          break;
        }
        if (mix.fulfils(need)) {
          best = mix;
          break;
        }
      }
    }
    return best;
  }

  /** Returns whether this mix serves the demand, and the promise without any one domain. */
  boolean fulfils(Need need) {
    int largest = need.domains() == 0 ? cheap : cheapIn(0, need.domains());
    return regular + cheap >= need.total()
        && regular + cheap <= need.most()
        && regular >= need.leastRegular()
        && regular + cheap - largest >= need.promised()
        && (cheap == 0 || need.domains() > 0);
  }

  /** Returns the cost in regular servers. */
  double cost(double cheapPrice) {
    return regular + cheap * cheapPrice;
  }

  /** Returns the cheap servers in the domain with this index. */
  int cheapIn(int index, int domains) {
    return cheap / domains + (index < cheap % domains ? 1 : 0);
  }
}
