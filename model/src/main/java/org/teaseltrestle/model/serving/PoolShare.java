package org.teaseltrestle.model.serving;

import org.teaseltrestle.model.PoolId;

/**
 * Part of a route's requests that goes to one pool.
 *
 * @param pool pool of backend servers
 * @param weight share relative to the weights of the route's other pools
 */
public record PoolShare(PoolId pool, int weight) {}
