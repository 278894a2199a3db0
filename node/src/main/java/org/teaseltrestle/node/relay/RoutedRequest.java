package org.teaseltrestle.node.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.IncomingRequest;
import org.teaseltrestle.node.port.StreamOrigin;

/**
 * A validated routed request.
 *
 * @param route route that it matched
 * @param version version of the configuration that holds the route
 * @param pool pool that serves it
 * @param account client account, null on a route without keys
 * @param incoming fields parsed from its header
 * @param method HTTP method
 * @param target path and query as received
 * @param headers end-to-end header fields as received
 * @param body body
 * @param arrivedAtNanos monotonic time of its arrival
 * @param deadlineNanos monotonic time by which it must have ended
 * @param origin where the stream that it takes up began, null if it may begin anywhere
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
    long deadlineNanos,
    @Nullable StreamOrigin origin) {}
