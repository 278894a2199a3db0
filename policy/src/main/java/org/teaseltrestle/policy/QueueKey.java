package org.teaseltrestle.policy;

import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * What requests in one queue have in common: any backend server that runs one of them can run all.
 *
 * @param pool pool of backend servers
 * @param item model or service
 */
record QueueKey(PoolId pool, ItemName item) {}
