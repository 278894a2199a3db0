package org.teaseltrestle.node.replica;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftSettings;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.NodeSettings;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Settings of the control plane of one process.
 *
 * @param instance this instance
 * @param boot boot ID, a random number that identifies this process start
 * @param failureDomain failure domain of this instance
 * @param region region of this instance
 * @param peerAddress address at which other nodes reach this one
 * @param dataFolder folder of the replica, null on an instance without a disk
 * @param maximumDataBytes maximum size of the data folder
 * @param voters initial voters
 * @param peerRoutes peer addresses that override the registered ones
 * @param heartbeatMilliseconds interval of the leader's heartbeats
 * @param electionTimeoutMilliseconds minimum election timeout
 * @param keyLeaseMilliseconds duration of the key lease
 * @param membership which instances with a data folder are voters
 * @param tree shape and timeouts of the dissemination tree
 */
public record ControlPlaneSettings(
    InstanceId instance,
    long boot,
    FailureDomain failureDomain,
    String region,
    InetSocketAddress peerAddress,
    @Nullable Path dataFolder,
    long maximumDataBytes,
    List<VoterSettings> voters,
    Map<InstanceId, InetSocketAddress> peerRoutes,
    long heartbeatMilliseconds,
    long electionTimeoutMilliseconds,
    long keyLeaseMilliseconds,
    RaftSettings.Membership membership,
    DisseminationTreeSettings tree) {

  private static final double LEASE_FRACTION_OF_ELECTION_TIMEOUT = 0.9;
  private static final long RETAINED_ENTRIES = 4_096;

  /** Copies the collections. */
  public ControlPlaneSettings {
    voters = List.copyOf(voters);
    peerRoutes = Map.copyOf(peerRoutes);
  }

  /** Creates settings with a fixed set of voters and the default dissemination tree. */
  public ControlPlaneSettings(
      InstanceId instance,
      long boot,
      FailureDomain failureDomain,
      String region,
      InetSocketAddress peerAddress,
      @Nullable Path dataFolder,
      long maximumDataBytes,
      List<VoterSettings> voters,
      Map<InstanceId, InetSocketAddress> peerRoutes,
      long heartbeatMilliseconds,
      long electionTimeoutMilliseconds,
      long keyLeaseMilliseconds) {
    this(
        instance,
        boot,
        failureDomain,
        region,
        peerAddress,
        dataFolder,
        maximumDataBytes,
        voters,
        peerRoutes,
        heartbeatMilliseconds,
        electionTimeoutMilliseconds,
        keyLeaseMilliseconds,
        RaftSettings.Membership.INITIAL_VOTERS,
        DisseminationTreeSettings.DEEP);
  }

  /** Returns the control plane settings of a node for the given process start. */
  public static ControlPlaneSettings of(NodeSettings node, long boot) {
    Path folder = node.dataFolder();
    return new ControlPlaneSettings(
        node.instance(),
        boot,
        node.failureDomain(),
        node.region(),
        node.peerAddress(),
        folder == null ? null : folder.resolve("replica"),
        Long.MAX_VALUE,
        node.voters(),
        node.peerRoutes(),
        node.heartbeatMilliseconds(),
        node.electionTimeoutMilliseconds(),
        node.keyLeaseMilliseconds());
  }

  /** Returns whether this instance holds a voting replica. */
  public boolean isVoter() {
    return dataFolder != null
        && (membership == RaftSettings.Membership.OPEN || voterInstances().contains(instance));
  }

  /** Returns the instances of the initial voters. */
  public List<InstanceId> voterInstances() {
    return voters.stream().map(VoterSettings::instance).toList();
  }

  /** Returns the duration of a key lease in nanoseconds. */
  public long keyLeaseNanos() {
    return TimeUnit.MILLISECONDS.toNanos(keyLeaseMilliseconds);
  }

  /** Returns the duration of an authority lease in nanoseconds, before clock drift is deducted. */
  public long authorityLeaseNanos() {
    long electionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(electionTimeoutMilliseconds);
    return (long) (electionTimeoutNanos * LEASE_FRACTION_OF_ELECTION_TIMEOUT);
  }

  RaftSettings raftSettings() {
    long electionTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(electionTimeoutMilliseconds);
    return RaftSettings.builder()
        .initialVoters(Set.copyOf(voterInstances()))
        .membership(membership)
        .heartbeatNanos(TimeUnit.MILLISECONDS.toNanos(heartbeatMilliseconds))
        .electionNanos(electionTimeoutNanos, 2 * electionTimeoutNanos)
        .leaseNanos(authorityLeaseNanos())
        .retainedEntries(RETAINED_ENTRIES)
        .build();
  }

  InstanceRecord registration() {
    return InstanceRecord.newBuilder()
        .setInstance(instance.value())
        .setBoot(boot)
        .setFailureDomain(failureDomain.value())
        .setRegion(region)
        .setPeerAddress(PeerAddresses.format(peerAddress))
        .setVoter(isVoter())
        .build();
  }
}
