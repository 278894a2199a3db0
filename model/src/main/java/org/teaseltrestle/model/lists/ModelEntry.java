package org.teaseltrestle.model.lists;

import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A model that plans may use.
 *
 * @param model name as callers give it
 * @param pool pool of engines that serve it
 * @param minimumServers backend servers always kept
 * @param maximumServers most backend servers that may be paid for at once
 */
public record ModelEntry(ItemName model, PoolId pool, int minimumServers, int maximumServers) {}
