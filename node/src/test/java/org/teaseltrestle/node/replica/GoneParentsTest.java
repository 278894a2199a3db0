package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of nodes whose settings name control nodes that were replaced and are gone. */
public final class GoneParentsTest {

  private static final int GONE_VOTERS = 3;

  /** Time after which a node counts as in touch again after a fault of its parent or its links. */
  private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time from the first news of a leader to readiness: one call, and a tick of the duty. */
  private static final long READY_AFTER_NEWS_MILLISECONDS = 300;

  /** So many that the questions to all of them take several seconds. */
  private static final int MANY_GONE_VOTERS = 8;

  private static LoopbackCluster clusterWithEntryBelow(String parent) {
    return clusterWithEntryBelow(parent, GONE_VOTERS);
  }

  private static LoopbackCluster clusterWithEntryBelow(String parent, int goneVoters) {
    LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT);
    cluster.startVoters();
    cluster.awaitLeader();
    cluster.addGoneVoters(parent, goneVoters);
    ControlPlane entry = cluster.startNonVoterBelow(parent, "entry-1").plane();
    cluster.awaitApplied("entry-1", cluster.commit(parent, "before"));
    LoopbackCluster.await("parent", () -> entry.status().leader().equals(parent));
    return cluster;
  }

  private static void assertAppliesInTime(LoopbackCluster cluster, long index, long sinceNanos) {
    cluster.awaitApplied("entry-1", index);
    long tookNanos = System.nanoTime() - sinceNanos;
    assertTrue(tookNanos <= CONTACT_NANOS, TimeUnit.NANOSECONDS.toMillis(tookNanos) + " ms behind");
  }

  /** Guards against a node that waits for one gone control node after the other. */
  @Test
  public void lossOfTheParentLeavesNoNodeBehind() {
    try (LoopbackCluster cluster = clusterWithEntryBelow("voter-0")) {
      cluster.stop("voter-0");
      final long lostAtNanos = System.nanoTime();
      String leader = cluster.awaitLeader();
      assertAppliesInTime(cluster, cluster.commit(leader, "after"), lostAtNanos);
    }
  }

  /** Guards against a node that is behind for long after its links have healed. */
  @Test
  public void healedLinksLeaveNoNodeBehind() {
    try (LoopbackCluster cluster = clusterWithEntryBelow("voter-0")) {
      cluster.isolate("entry-1");
      long index = cluster.commit("voter-0", "during the cut");
      LoopbackCluster.awaitNanos(
          System.nanoTime() + DisseminationTreeSettings.FLAT.parentTimeoutNanos());
      cluster.heal("entry-1");
      assertAppliesInTime(cluster, index, System.nanoTime());
    }
  }

  /**
   * Guards against a node that knows of a leader and goes on asking control nodes that are gone.
   */
  @Test
  public void nodeIsReadyAsSoonAsItHearsOfLeaderAfterLossOfPower() {
    try (LoopbackCluster cluster = clusterWithEntryBelow("voter-0", MANY_GONE_VOTERS)) {
      List.copyOf(cluster.nodes.keySet()).forEach(cluster::stop);
      final ControlPlane entry = cluster.startNonVoterBelow("voter-0", "entry-1").plane();
      cluster.isolate("entry-1");
      cluster.startVoters();
      cluster.awaitLeader();
      // The node hears of the leader when it has begun to ask the gone voters.
      LoopbackCluster.await("call to a live voter", () -> !cluster.callsGoneVoter("entry-1"));
      LoopbackCluster.await("call to a gone voter", () -> cluster.callsGoneVoter("entry-1"));
      cluster.heal("entry-1");
      LoopbackCluster.await("news of a leader", () -> !entry.status().leader().isEmpty());
      final long newsAtNanos = System.nanoTime();
      LoopbackCluster.await("ready entry node", entry::isReady);
      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - newsAtNanos);
      assertTrue(
          tookMillis <= READY_AFTER_NEWS_MILLISECONDS,
          "ready " + tookMillis + " ms after the first news of a leader");
    }
  }

  /**
   * Guards against a node that never starts because its settings name only voters that are gone.
   */
  @Test
  public void nodeFindsVotersThatChangedSettingsName() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT)) {
      cluster.startVoters();
      String leader = cluster.awaitLeader();
      ControlPlane entry = cluster.startNonVoterNamingGoneVoters(leader, "entry-1").plane();
      LoopbackCluster.await("question", () -> cluster.hasContactedGoneVoter("entry-1"));
      assertFalse(entry.isReady());
      entry.nameVoters(cluster.namedVoters());
      LoopbackCluster.await("ready entry node", entry::isReady);
    }
  }

  /** Guards against a node that goes on asking registered voters that were replaced. */
  @Test
  public void replacedVotersAreNotAsked() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT)) {
      cluster.startVoters();
      String leader = cluster.awaitLeader();
      cluster.registerGoneVoters(leader, leader, GONE_VOTERS);
      ControlPlane plane = cluster.node(leader).plane();
      LoopbackCluster.await("recorded voters", () -> plane.view().recordedVoters().size() == 3);
      final ControlPlane entry = cluster.startNonVoterBelow(leader, "entry-1").plane();
      cluster.awaitApplied("entry-1", cluster.commit(leader, "before"));
      LoopbackCluster.await("parent", () -> entry.status().leader().equals(leader));
      cluster.stop(leader);
      cluster.awaitApplied("entry-1", cluster.commit(cluster.awaitLeader(), "after"));
      cluster.startVoter(leader, Long.MAX_VALUE);
      LoopbackCluster.await("preferred parent", () -> entry.status().leader().equals(leader));
      assertFalse(cluster.hasContactedGoneVoter("entry-1"), "a replaced voter was asked");
    }
  }

  /** Tests of a node that is cut off while all control nodes are replaced. */
  public static final class ReplacedGroup {

    private static final int VOTERS = 3;

    private static LoopbackCluster clusterWithEntries() {
      LoopbackCluster cluster =
          new LoopbackCluster(
              VOTERS, DisseminationTreeSettings.FLAT, LoopbackCluster.Timing.PLATFORM);
      cluster.startVoters();
      String leader = cluster.awaitLeader();
      for (int i = 0; i < VOTERS; i++) {
        cluster.startNonVoterBelow("voter-" + i, "entry-" + i);
      }
      for (int i = 0; i < VOTERS; i++) {
        String entry = "entry-" + i;
        LoopbackCluster.await("registration", () -> cluster.hasInstance(leader, entry));
        LoopbackCluster.await("ready", cluster.node(entry).plane()::isReady);
      }
      cluster.awaitApplied("entry-1", cluster.commit(leader, "before"));
      return cluster;
    }

    /**
     * Guards against a node that obeys an old version for good because all voters that it knows
     * were replaced while it was cut off.
     */
    @Test
    public void healedNodeFindsSuccessorsOfAllVoters() {
      try (LoopbackCluster cluster = clusterWithEntries()) {
        cluster.isolate("entry-1");
        for (int i = 0; i < VOTERS; i++) {
          cluster.replaceVoter("voter-" + i);
        }
        long index = cluster.commit(cluster.awaitLeader(), "during the cut");
        cluster.heal("entry-1");
        assertAppliesInTime(cluster, index, System.nanoTime());
      }
    }
  }
}
