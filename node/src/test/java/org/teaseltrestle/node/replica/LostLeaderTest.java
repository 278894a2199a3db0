package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/**
 * Tests of the time until entry nodes have an acknowledged change whose leader is gone in the same
 * moment, with the platform's times.
 */
public final class LostLeaderTest {

  private static final int PLAYS = Integer.getInteger("trestle.lostLeaderPlays", 2);
  private static final List<String> VOTERS = List.of("voter-0", "voter-1", "voter-2");
  private static final List<String> ENTRIES = List.of("entry-0", "entry-1", "entry-2");

  /** Time in which a change must be in force after the loss of a control machine. */
  private static final long LIMIT_MILLISECONDS = 4_000;

  /**
   * Guards against waits that add up after the loss of a leader: entry nodes then refuse requests
   * by an older configuration.
   */
  @Test
  public void entryNodesHaveAcknowledgedChangeInTime() {
    for (int play = 0; play < PLAYS; play++) {
      Map<String, Long> millis = play();
      System.out.println("lost leader, milliseconds since the acknowledgement: " + millis);
      for (String entry : ENTRIES) {
        assertTrue(millis.getOrDefault(entry, Long.MAX_VALUE) < LIMIT_MILLISECONDS, entry + millis);
      }
    }
  }

  private record Loss(String leader, long index, long acknowledgedAtNanos) {}

  private static Map<String, Long> play() {
    try (LoopbackCluster cluster =
        new LoopbackCluster(3, DisseminationTreeSettings.FLAT, LoopbackCluster.Timing.PLATFORM)) {
      cluster.startVoters();
      String first = cluster.awaitLeader();
      for (int i = 0; i < ENTRIES.size(); i++) {
        cluster.startNonVoterBelow(VOTERS.get(i), ENTRIES.get(i));
      }
      long before = cluster.commit(first, "before");
      ENTRIES.forEach(entry -> cluster.awaitApplied(entry, before));
      for (int i = 0; i < ENTRIES.size(); i++) {
        ControlPlane entry = cluster.node(ENTRIES.get(i)).plane();
        String parent = VOTERS.get(i);
        LoopbackCluster.await("parent", () -> entry.status().leader().equals(parent));
      }
      AtomicReference<@Nullable Loss> loss = new AtomicReference<>();
      while (loss.get() == null) {
        String leader = cluster.awaitLeader();
        ControlPlane plane = cluster.node(leader).plane();
        // The leader's messages are lost from before its answer is passed on.
        cluster
            .propose(leader, "lost")
            .thenAccept(
                answer -> {
                  if (plane.status().role().equals("leader")) {
                    cluster.isolate(leader);
                    loss.set(new Loss(leader, answer.getAppliedIndex(), System.nanoTime()));
                  }
                })
            .join();
      }
      return timesSince(cluster, Objects.requireNonNull(loss.get()));
    }
  }

  private static Map<String, Long> timesSince(LoopbackCluster cluster, Loss loss) {
    Map<String, BooleanSupplier> steps = new TreeMap<>();
    for (String voter : VOTERS) {
      ControlPlane plane = cluster.node(voter).plane();
      if (!voter.equals(loss.leader())) {
        steps.put(voter + " campaigns", () -> !plane.status().role().equals("follower"));
        steps.put(voter + " leads", () -> plane.status().role().equals("leader"));
        steps.put(voter, () -> plane.view().appliedIndex() >= loss.index());
      }
    }
    for (String entry : ENTRIES) {
      ControlPlane plane = cluster.node(entry).plane();
      String parent = VOTERS.get(ENTRIES.indexOf(entry));
      steps.put(entry + " leaves " + parent, () -> !plane.status().leader().equals(parent));
      steps.put(entry, () -> plane.view().appliedIndex() >= loss.index());
    }
    Map<String, Long> millis = new TreeMap<>();
    millis.put("lost " + loss.leader(), 0L);
    long deadline =
        loss.acknowledgedAtNanos() + TimeUnit.MILLISECONDS.toNanos(2 * LIMIT_MILLISECONDS);
    while (!millis.keySet().containsAll(ENTRIES) && System.nanoTime() - deadline < 0) {
      long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - loss.acknowledgedAtNanos());
      steps.forEach(
          (step, isReached) -> {
            if (!millis.containsKey(step) && isReached.getAsBoolean()) {
              millis.put(step, now);
            }
          });
      LockSupport.parkNanos(1_000_000);
    }
    return millis;
  }
}
