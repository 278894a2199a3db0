package org.teaseltrestle.model.serving;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.PoolId;

/**
 * A pool of backend servers.
 *
 * @param pool name
 * @param healthPath path of the health check
 * @param maximumConnections connections that a backend server accepts from all instances together
 * @param engine capacity and models of its engines, null for a plain HTTP service
 * @param scaling how many engines may be ordered, null if none may
 */
public record ServedPool(
    PoolId pool,
    String healthPath,
    int maximumConnections,
    @Nullable EngineProfile engine,
    @Nullable ScalingRange scaling) {}
