package org.teaseltrestle.node.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.transport.TlsMaterial;

/**
 * Checked settings of one node. Settings state durations, since a file has no clock; the services
 * turn them into deadlines.
 *
 * @param instance identifier of this instance
 * @param failureDomain failure domain of this instance
 * @param region region of this instance
 * @param callerAddress address for callers
 * @param operatorAddress address for operators
 * @param peerAddress address for other nodes
 * @param dataFolder folder for durable files, null on an instance without a disk
 * @param voters initial voters of the control state
 * @param peerRoutes addresses used in place of the registered ones, by instance
 * @param platformAddress base URL of the platform
 * @param tls files for mutual TLS between nodes, null for plain connections
 * @param operatorTokenFile file with the operators' token
 * @param keyLeaseMilliseconds length of the key lease
 * @param usageWindowSeconds length of a usage window
 * @param heartbeatMilliseconds interval of the leader's heartbeats
 * @param electionTimeoutMilliseconds shortest election timeout; the longest is twice as long
 * @param relayThreads requests served at once
 * @param shutdownDelayMilliseconds time for the balancer to notice that the node is not ready
 * @param policy variants of the decisions
 */
public record NodeSettings(
    InstanceId instance,
    FailureDomain failureDomain,
    String region,
    InetSocketAddress callerAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress peerAddress,
    @Nullable Path dataFolder,
    List<VoterSettings> voters,
    Map<InstanceId, InetSocketAddress> peerRoutes,
    String platformAddress,
    @Nullable TlsMaterial tls,
    Path operatorTokenFile,
    long keyLeaseMilliseconds,
    long usageWindowSeconds,
    long heartbeatMilliseconds,
    long electionTimeoutMilliseconds,
    int relayThreads,
    long shutdownDelayMilliseconds,
    PolicySettings policy) {

  /** Copies the collections. */
  public NodeSettings {
    voters = List.copyOf(voters);
    peerRoutes = Map.copyOf(peerRoutes);
  }

  /** Tells whether this instance is one of the initial voters. */
  public boolean isVoter() {
    return voters.stream().anyMatch(voter -> voter.instance().equals(instance));
  }
}
