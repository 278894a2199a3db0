package org.teaseltrestle.node.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.IncomingRequest;

/**
 * A routed request that was checked.
 *
 * @param route route that it matched
 * @param version version of the configuration that holds the route
 * @param pool pool that serves it
 * @param account client account, null on a route without keys
 * @param incoming what its header says
 * @param method HTTP method
 * @param target path and query as received
 * @param headers header fields as received, without those of the connection
 * @param body body
 * @param arrivedAtNanos monotonic time of its arrival
 * @param deadlineNanos monotonic time at which it is ended
 */
record RoutedRequest(
    ServingRoute route,
    long version,
    PoolId pool,
    @Nullable ClientAccount account,
    IncomingRequest incoming,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    long arrivedAtNanos,
    long deadlineNanos) {}
