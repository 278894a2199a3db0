package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of how old the knowledge of a node becomes while nothing is committed. */
public final class KnowledgeAtRestTest {

  private static final int NEWS = 5;

  /** Guards against an idle node that counts as one without recent news. */
  @Test
  public void newsAtRestKeepsKnowledgeRecent() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT)) {
      cluster.startVoters();
      cluster.awaitLeader();
      ControlPlane entry = cluster.startNonVoterBelow("voter-0", "entry-1").plane();
      cluster.awaitApplied("entry-1", cluster.commit("voter-0", "last"));
      LoopbackCluster.await("knowledge", () -> entry.knownAsOfNanos().isPresent());
      List<Long> agesMillis = agesAtNews(entry);
      // A busy machine may delay one message, but not two.
      long secondLargest = agesMillis.stream().sorted().toList().get(NEWS - 2);
      long limitMillis =
          TimeUnit.NANOSECONDS.toMillis(DisseminationTreeSettings.FLAT.rootTimeoutNanos());
      assertTrue(secondLargest < limitMillis, agesMillis + " ms");
    }
  }

  /** Returns how old the knowledge had become each time that news without entries arrived. */
  private static List<Long> agesAtNews(ControlPlane entry) {
    List<Long> agesMillis = new ArrayList<>();
    while (agesMillis.size() < NEWS) {
      long known = knownAsOfNanos(entry);
      long applied = entry.view().appliedIndex();
      LoopbackCluster.await("news", () -> knownAsOfNanos(entry) != known);
      if (entry.view().appliedIndex() == applied) {
        agesMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - known));
      }
    }
    return agesMillis;
  }

  private static long knownAsOfNanos(ControlPlane entry) {
    return entry.knownAsOfNanos().orElseThrow();
  }
}
