package org.teaseltrestle.node.settings;

import java.net.InetSocketAddress;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;

/**
 * One of the initial voters of the control state.
 *
 * @param instance instance that holds the replica
 * @param failureDomain its failure domain
 * @param peerAddress address at which this node reaches it
 */
public record VoterSettings(
    InstanceId instance, FailureDomain failureDomain, InetSocketAddress peerAddress) {}
