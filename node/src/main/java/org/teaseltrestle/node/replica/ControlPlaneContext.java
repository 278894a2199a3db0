package org.teaseltrestle.node.replica;

import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.transport.PeerTransport;

/**
 * Services of the process that the control plane depends on.
 *
 * @param transport sends messages to other nodes
 * @param messageHandlers message handlers of this process
 * @param clock clock for leases and deadlines
 * @param wallClock clock for the timestamps of commands
 * @param demand source of this node's demand
 * @param shares listener for this node's shares
 */
public record ControlPlaneContext(
    PeerTransport transport,
    MessageHandlerRegistry messageHandlers,
    MonotonicClock clock,
    WallClock wallClock,
    DemandSource demand,
    ShareListener shares) {}
