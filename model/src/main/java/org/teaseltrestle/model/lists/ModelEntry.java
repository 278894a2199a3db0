package org.teaseltrestle.model.lists;

import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A model that plans may use.
 *
 * @param model name as callers specify it
 * @param pool pool of engines that serve it
 * @param minimumServers minimum number of backend servers that are kept running
 * @param maximumServers maximum number of backend servers that may be paid for at the same time
 */
public record ModelEntry(ItemName model, PoolId pool, int minimumServers, int maximumServers) {}
