package org.teaseltrestle.policy;

import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * Key of a queue. A backend server that can run one of its requests can run all of them.
 *
 * @param pool pool of backend servers
 * @param item model or service
 * @param kind kind of work; a model may have the name of a service
 */
record QueueKey(PoolId pool, ItemName item, WorkRequest.WorkKind kind) {}
