package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of nodes below a voter that is cut off from the others. */
public final class RestartInsideCutTest {

  /** Time in which a node is in touch again, and the time of one change of its parent. */
  private static final long MAXIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000 + 500);

  /**
   * Guards against a voter that restarts inside a cut and counts as fresh, so that the nodes below
   * it obey an old configuration for longer than allowed.
   */
  @Test
  public void nodeLeavesVoterThatWasRestartedInsideCut() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT)) {
      cluster.startVoters();
      String cutOff = cluster.awaitLeader();
      ControlPlane entry = cluster.startNonVoterBelow(cutOff, "entry-1").plane();
      cluster.awaitApplied("entry-1", cluster.commit("entry-1", "before"));
      LoopbackCluster.await("parent", () -> entry.status().leader().equals(cutOff));
      cluster.cutVoterOff(cutOff);
      final long cutAtNanos = System.nanoTime();
      cluster.stop(cutOff);
      String other = cluster.awaitLeader();
      final long index = cluster.commit(other, "after");
      cluster.startVoter(cutOff, Long.MAX_VALUE);
      cluster.awaitApplied("entry-1", index);
      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - cutAtNanos);
      assertTrue(
          tookMillis <= TimeUnit.NANOSECONDS.toMillis(MAXIMUM_NANOS),
          "in touch after " + tookMillis + " ms");
    }
  }

  /** Guards against a voter whose news of a leader becomes fresh again by its own restart. */
  @Test
  public void restartInsideCutMakesNoNews() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT)) {
      cluster.startVoters();
      String cutOff = cluster.awaitLeader();
      cluster.cutVoterOff(cutOff);
      final long cutAtNanos = System.nanoTime();
      cluster.stop(cutOff);
      cluster.startVoter(cutOff, Long.MAX_VALUE);
      long ageMillis = cluster.askForNews(cutOff).getRootAgeMillis();
      long cutMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - cutAtNanos);
      assertTrue(ageMillis >= cutMillis, ageMillis + " ms, cut off for " + cutMillis + " ms");
    }
  }
}
