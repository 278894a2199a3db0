package org.teaseltrestle.model.serving;

import java.util.Map;
import org.teaseltrestle.model.FailureDomain;

/**
 * How many engines of a pool may be ordered in each failure domain, and what they cost.
 *
 * @param minimumServers least engines in a failure domain
 * @param maximumServers most engines in a failure domain, regular and cheap ones together
 * @param bootSeconds time from an order to the engine's first request
 * @param cheapPrice price of cheap capacity as a part of the regular price
 * @param priceByDomain price of one regular engine for one second
 */
public record ScalingRange(
    int minimumServers,
    int maximumServers,
    double bootSeconds,
    double cheapPrice,
    Map<FailureDomain, Double> priceByDomain) {

  /** Copies the prices. */
  public ScalingRange {
    priceByDomain = Map.copyOf(priceByDomain);
  }
}
