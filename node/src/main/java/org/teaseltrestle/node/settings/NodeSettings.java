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
 * Validated settings of one node. Times are durations, since a file has no clock; the services
 * compute deadlines from them.
 *
 * @param instance identifier of this instance
 * @param failureDomain failure domain of this instance
 * @param region region of this instance
 * @param callerAddress address that serves callers
 * @param operatorAddress address that serves operators
 * @param peerAddress address that serves other nodes
 * @param dataFolder folder for durable files, null on an instance without a disk
 * @param voters initial voters of the control state
 * @param peerRoutes addresses that override the registered peer addresses, by instance
 * @param platformAddress base URL of the platform
 * @param tls files for mutual TLS between nodes, null for plain connections
 * @param operatorTokenFile file with the operators' token
 * @param keyLeaseMilliseconds duration of the key lease
 * @param usageWindowSeconds duration of a usage window
 * @param heartbeatMilliseconds interval of the leader's heartbeats
 * @param electionTimeoutMilliseconds minimum election timeout; the maximum is twice as long
 * @param relayThreads maximum number of requests that are served concurrently
 * @param shutdownDelayMilliseconds time at shutdown for the load balancer to notice that the node
 *     is not ready
 * @param policy policy variants in use
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

  /** Returns whether this instance is one of the initial voters. */
  public boolean isVoter() {
    return voters.stream().anyMatch(voter -> voter.instance().equals(instance));
  }
}
