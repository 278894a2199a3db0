package org.teaseltrestle.node.replica;

import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.transport.PeerTransport;

/**
 * What the control plane uses of its process.
 *
 * @param transport messages to other nodes
 * @param endpoints message handlers of this process
 * @param clock clock for leases and deadlines
 * @param wallClock clock for the time stated in commands
 * @param demand this node's demand
 * @param shares receiver of this node's shares
 */
public record ControlPlaneContext(
    PeerTransport transport,
    MessageEndpoints endpoints,
    MonotonicClock clock,
    WallClock wallClock,
    DemandSource demand,
    ShareListener shares) {}
