package org.teaseltrestle.model.serving;

import org.teaseltrestle.model.PoolId;

/**
 * A pool that receives a fraction of a route's requests.
 *
 * @param pool pool of backend servers
 * @param weight weight relative to the route's other pools
 */
public record WeightedPool(PoolId pool, long weight) {}
