package org.teaseltrestle.model.serving;

import java.util.Map;
import org.teaseltrestle.model.FailureDomain;

/**
 * How many engines of a pool may be ordered in each failure domain, and what they cost.
 *
 * @param minimumServers minimum number of engines in a failure domain
 * @param maximumServers maximum number of engines in a failure domain, regular and preemptible
 * @param startupSeconds time from an order to the engine's first request
 * @param preemptiblePriceRatio price of a preemptible engine as a fraction of the regular price
 * @param regularPriceByDomain price of one regular engine for one second, by failure domain
 */
public record ScalingRange(
    int minimumServers,
    int maximumServers,
    double startupSeconds,
    double preemptiblePriceRatio,
    Map<FailureDomain, Double> regularPriceByDomain) {

  /** Copies the prices. */
  public ScalingRange {
    regularPriceByDomain = Map.copyOf(regularPriceByDomain);
  }
}
