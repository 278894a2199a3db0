package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.CommandAnswer;
import org.testng.annotations.Test;

/** Tests of the control plane of a node. */
public final class ControlPlaneTest {

  /** Guards against accepted commands that are lost or missing on a voter. */
  public static final class VotersTest {

    private static final int DATA_BYTES = 1_000_000;

    @Test
    public void commandsReachAllVotersAcrossLeaderLossAndRestart() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        String first = cluster.awaitLeader();
        for (String voter : List.copyOf(cluster.nodes.keySet())) {
          cluster.commit(voter, "server-" + voter);
        }
        cluster.stop(first);
        String second = cluster.awaitLeader();
        long index = cluster.commit(second, "after-leader-loss");
        cluster.startVoter(first, Long.MAX_VALUE);
        cluster.awaitApplied(first, index);
        LoopbackCluster.await("readiness", () -> cluster.node(first).plane().isReady());
        for (String voter : cluster.nodes.keySet()) {
          assertTrue(cluster.hasInstance(first, "server-" + voter));
        }
      }
    }

    @Test
    public void voterThatLostItsDiskRejoinsAsNewReplicaAndCoversForAnother() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        cluster.awaitLeader();
        long index = cluster.commit("voter-0", "before");
        final List<ReplicaId> before = cluster.node("voter-0").plane().status().voters();
        cluster.stop("voter-1");
        cluster.loseDisk("voter-1");
        cluster.startVoter("voter-1", Long.MAX_VALUE);
        cluster.awaitApplied("voter-1", index);
        LoopbackCluster.await(
            "removal of the lost identity",
            () -> {
              List<ReplicaId> voters = cluster.node("voter-1").plane().status().voters();
              return voters.size() == 3 && !voters.equals(before);
            });
        cluster.stop("voter-0");
        String leader = cluster.awaitLeader();
        cluster.awaitApplied(leader, cluster.commit(leader, "after"));
        assertTrue(cluster.hasInstance(leader, "before") && cluster.hasInstance(leader, "after"));
      }
    }

    @Test
    public void voterWithFullDiskContinuesAsNonVoter() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoter("voter-0", 2_000);
        cluster.startVoter("voter-1", Long.MAX_VALUE);
        cluster.startVoter("voter-2", Long.MAX_VALUE);
        cluster.awaitLeader();
        LoopbackCluster.await(
            "follow service in place of the replica",
            () -> {
              cluster.commit("voter-1", "server");
              return cluster.node("voter-0").plane().status().role().equals("following");
            });
        cluster.awaitApplied("voter-0", cluster.commit("voter-1", "after"));
        assertTrue(cluster.node("voter-0").plane().isReady());
      }
    }

    /** Guards against a voter that never votes again after its disk was full for a moment. */
    @Test
    public void votersVoteAgainAfterFullDisksOneAfterTheOther() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoter("voter-0", DATA_BYTES);
        cluster.startVoter("voter-1", DATA_BYTES);
        cluster.startVoter("voter-2", DATA_BYTES);
        cluster.awaitLeader();
        for (String voter : List.of("voter-0", "voter-1")) {
          cluster.fillDisk(voter, DATA_BYTES);
          awaitRole(cluster, voter, "following", "voter-2");
          final long known = cluster.node(voter).plane().view().appliedIndex();
          cluster.freeDisk(voter);
          LoopbackCluster.await(
              "vote of " + voter,
              () -> {
                ControlPlane plane = cluster.node(voter).plane();
                assertTrue(plane.view().appliedIndex() >= known, "the view went back");
                return !plane.status().role().equals("following");
              });
          cluster.awaitApplied(voter, cluster.commit("voter-2", "after-" + voter));
        }
        // Only the two voters whose disks were full are left for the quorum.
        cluster.stop("voter-2");
        String leader = cluster.awaitLeader();
        long index = cluster.commit(leader, "without-the-third");
        cluster.awaitApplied("voter-0", index);
        cluster.awaitApplied("voter-1", index);
      }
    }

    /** Guards against a voter that ends because its disk refuses a start for a moment. */
    @Test
    public void voterFollowsWhileItsDiskRefusesItsStart() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        cluster.awaitLeader();
        cluster.commit("voter-0", "before");
        cluster.stop("voter-2");
        try (FileReplicaStorage other = cluster.openDataFolder("voter-2")) {
          assertEquals(other.identity().instance().value(), "voter-2");
          cluster.startVoter("voter-2", Long.MAX_VALUE);
          long index = cluster.commit("voter-0", "while-refused");
          cluster.awaitApplied("voter-2", index);
          assertEquals(cluster.node("voter-2").plane().status().role(), "following");
        }
        LoopbackCluster.await(
            "vote of voter-2",
            () -> !cluster.node("voter-2").plane().status().role().equals("following"));
        cluster.stop("voter-1");
        cluster.awaitLeader();
        cluster.awaitApplied("voter-2", cluster.commit("voter-2", "after"));
      }
    }

    /** Guards against a reopened voter that forgets entries which it had acknowledged. */
    @Test
    public void voterThatWasReopenedHoldsItsEntriesAfterRestart() {
      try (LoopbackCluster cluster = new LoopbackCluster(1)) {
        cluster.startVoter("voter-0", DATA_BYTES);
        cluster.awaitLeader();
        final long before = cluster.commit("voter-0", "before");
        cluster.fillDisk("voter-0", DATA_BYTES);
        CompletableFuture<CommandAnswer> unanswered = cluster.propose("voter-0", "while-full");
        LoopbackCluster.await(
            "failure of the write",
            () -> cluster.node("voter-0").plane().status().role().equals("following"));
        assertFalse(unanswered.isDone() && !unanswered.isCompletedExceptionally());
        cluster.freeDisk("voter-0");
        cluster.awaitLeader();
        cluster.awaitApplied("voter-0", before);
        long after = cluster.commit("voter-0", "after");
        cluster.stop("voter-0");
        cluster.startVoter("voter-0", DATA_BYTES);
        cluster.awaitLeader();
        cluster.awaitApplied("voter-0", after);
        assertTrue(cluster.hasInstance("voter-0", "before"));
        assertTrue(cluster.hasInstance("voter-0", "after"));
      }
    }

    /** Guards against a log of large changes that grows until the disk or the heap is full. */
    @Test
    public void manyLargeChangesTakeBoundedDiskSpace() {
      try (LoopbackCluster cluster = new LoopbackCluster(1)) {
        cluster.startVoters();
        cluster.awaitLeader();
        long index = 0;
        for (int version = 1; version <= 200; version++) {
          index = cluster.publish("voter-0", version, 400_000);
        }
        long bytes = cluster.dataBytes("voter-0");
        assertTrue(bytes < 32_000_000, "the data folder holds " + bytes + " bytes");
        cluster.stop("voter-0");
        cluster.startVoter("voter-0", Long.MAX_VALUE);
        cluster.awaitLeader();
        cluster.awaitApplied("voter-0", index);
      }
    }

    private static void awaitRole(
        LoopbackCluster cluster, String voter, String role, String writer) {
      LoopbackCluster.await(
          role + " at " + voter,
          () -> {
            cluster.commit(writer, "write");
            return cluster.node(voter).plane().status().role().equals(role);
          });
    }

    @Test
    public void restartReadsSnapshotAndLogAfterIt() {
      try (LoopbackCluster cluster = new LoopbackCluster(1)) {
        cluster.startVoters();
        cluster.awaitLeader();
        long index = 0;
        while (index < 5_200) {
          index = cluster.commitMany("voter-0", 400);
        }
        cluster.stop("voter-0");
        cluster.startVoter("voter-0", Long.MAX_VALUE);
        cluster.awaitLeader();
        cluster.awaitApplied("voter-0", index);
        assertTrue(cluster.hasInstance("voter-0", "many-399"));
      }
    }

    @Test
    public void minorityIsNotReady() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        cluster.awaitLeader();
        cluster.stop("voter-0");
        cluster.stop("voter-1");
        cluster.stop("voter-2");
        cluster.startVoter("voter-0", Long.MAX_VALUE);
        LoopbackCluster.await(
            "campaign",
            () -> cluster.node("voter-0").plane().status().role().equals("pre_candidate"));
        assertFalse(cluster.node("voter-0").plane().isReady());
        cluster.startVoter("voter-1", Long.MAX_VALUE);
        LoopbackCluster.await("readiness", () -> cluster.node("voter-0").plane().isReady());
      }
    }

    @Test
    public void onlyLeaderHasAuthorityAndLosesItWithoutQuorum() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        String leader = cluster.awaitLeader();
        ControlPlane plane = cluster.node(leader).plane();
        LoopbackCluster.await("authority", () -> holdsAuthority(plane));
        for (String voter : List.copyOf(cluster.nodes.keySet())) {
          if (!voter.equals(leader)) {
            assertFalse(holdsAuthority(cluster.node(voter).plane()));
            cluster.stop(voter);
          }
        }
        LoopbackCluster.await("loss of authority", () -> !holdsAuthority(plane));
      }
    }

    private static boolean holdsAuthority(ControlPlane plane) {
      Optional<Authority> authority = plane.authority();
      return authority.isPresent() && authority.get().isValid(System.nanoTime());
    }
  }

  /** Guards against nodes that miss changes, and against leases that the leader does not know. */
  public static final class NonVotersTest {

    @Test
    public void nonVoterReceivesChangesKeyLeaseAndShare() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        cluster.awaitLeader();
        ControlPlane nonVoter = cluster.startNonVoter("entry-1").plane();
        LoopbackCluster.await("readiness", nonVoter::isReady);
        LoopbackCluster.await(
            "key lease", () -> nonVoter.keyLeaseEndsAtNanos() - System.nanoTime() > 0);
        cluster.awaitApplied("entry-1", cluster.commit("entry-1", "server"));
        LoopbackCluster.await(
            "share of a quarter",
            () ->
                cluster.node("entry-1").shares().getOrDefault(new ClientAccount("yard"), 1.0)
                    == 0.25);
      }
    }

    @Test
    public void withdrawalReportListsStoppedNodeUntilItsLeaseEnds() {
      try (LoopbackCluster cluster = new LoopbackCluster(3)) {
        cluster.startVoters();
        String leader = cluster.awaitLeader();
        ControlPlane stopped = cluster.startNonVoter("entry-1").plane();
        final ControlPlane other = cluster.startNonVoter("entry-2").plane();
        LoopbackCluster.await(
            "registration", () -> cluster.node(leader).plane().view().instances().size() == 5);
        LoopbackCluster.await("lease", () -> stopped.keyLeaseEndsAtNanos() - System.nanoTime() > 0);
        cluster.stop("entry-1");
        long index = cluster.commit("entry-2", "withdrawal");
        WithdrawalReport report = other.withdrawalReport(index).join();
        assertTrue(
            report.unconfirmed().stream()
                .anyMatch(each -> each.instance().value().equals("entry-1")));
        LoopbackCluster.await(
            "final report", () -> other.withdrawalReport(index).join().isInEffectEverywhere());
        assertTrue(stopped.keyLeaseEndsAtNanos() - System.nanoTime() < 0);
      }
    }

    @Test
    public void nodeChangesItsParentAfterParentStops() {
      try (LoopbackCluster cluster = new LoopbackCluster(1)) {
        cluster.startVoters();
        cluster.awaitLeader();
        for (int i = 1; i <= DisseminationTreeSettings.DEEP.fanOut() + 1; i++) {
          cluster.startNonVoter("entry-" + i);
        }
        // Sorted by id, entry-9 is the ninth node of the domain, so its parent is the first one.
        ControlPlane leaf = cluster.node("entry-9").plane();
        LoopbackCluster.await("tree", () -> leaf.status().leader().equals("entry-1"));
        cluster.awaitApplied("entry-9", cluster.commit("entry-9", "through-tree"));
        cluster.stop("entry-1");
        cluster.awaitApplied("entry-9", cluster.commit("entry-9", "after-parent-loss"));
        LoopbackCluster.await(
            "key lease", () -> leaf.keyLeaseEndsAtNanos() - System.nanoTime() > 0);
      }
    }
  }
}
