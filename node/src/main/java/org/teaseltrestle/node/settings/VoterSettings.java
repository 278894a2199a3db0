package org.teaseltrestle.node.settings;

import java.net.InetSocketAddress;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;

/**
 * One of the initial voters of the control state.
 *
 * @param instance instance that holds the replica
 * @param failureDomain failure domain of the instance
 * @param peerAddress address at which this node reaches the instance
 */
public record VoterSettings(
    InstanceId instance, FailureDomain failureDomain, InetSocketAddress peerAddress) {}
