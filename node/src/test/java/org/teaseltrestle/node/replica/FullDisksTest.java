package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.Test;

/** Tests of voters whose disks are full for a moment, one after the other and again and again. */
public final class FullDisksTest {

  private static final int DATA_BYTES = 1_000_000;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Time in which a change is acknowledged while more than half of the voters have room. */
  private static final long ACKNOWLEDGEMENT_NANOS = 4 * SECOND;

  /** Time in which a voter votes again once its disk has room. */
  private static final long RETURN_NANOS = 2 * SECOND;

  private static final long PAUSE_NANOS = SECOND;

  private static LoopbackCluster startCluster() {
    LoopbackCluster cluster = new LoopbackCluster(3);
    for (String voter : List.of("voter-0", "voter-1", "voter-2")) {
      cluster.startVoter(voter, DATA_BYTES);
    }
    cluster.awaitLeader();
    return cluster;
  }

  private static boolean votes(LoopbackCluster cluster, String voter) {
    return !cluster.node(voter).plane().status().role().equals("following");
  }

  private static void fill(LoopbackCluster cluster, String voter, String writer) {
    cluster.fillDisk(voter, DATA_BYTES);
    LoopbackCluster.await(
        "stop of " + voter,
        () -> {
          cluster.propose(writer, "write");
          return !votes(cluster, voter);
        });
  }

  private static long freeAndAwaitVote(LoopbackCluster cluster, String voter) {
    cluster.freeDisk(voter);
    long freedAtNanos = System.nanoTime();
    LoopbackCluster.await("vote of " + voter, () -> votes(cluster, voter));
    return System.nanoTime() - freedAtNanos;
  }

  /** Guards against a voter that stays away longer with each full disk, long after it has room. */
  @Test
  public void voterVotesSoonAfterEachOfManyFullDisks() {
    try (LoopbackCluster cluster = startCluster()) {
      for (int round = 0; round < 6; round++) {
        fill(cluster, "voter-0", "voter-1");
        long tookNanos = freeAndAwaitVote(cluster, "voter-0");
        assertTrue(
            tookNanos <= RETURN_NANOS,
            "round " + round + ": " + TimeUnit.NANOSECONDS.toMillis(tookNanos) + " ms");
      }
    }
  }

  /** Guards against changes without an answer although the disks are never full at once. */
  @Test
  public void changesAreAnsweredWhileDisksAreFullOneAfterTheOther() throws InterruptedException {
    try (LoopbackCluster cluster = startCluster()) {
      Operator operator = new Operator(cluster);
      operator.start();
      for (int round = 0; round < 12; round++) {
        String voter = "voter-" + round % 3;
        fill(cluster, voter, "voter-" + (round + 1) % 3);
        LoopbackCluster.awaitNanos(System.nanoTime() + PAUSE_NANOS);
        cluster.freeDisk(voter);
        LoopbackCluster.awaitNanos(System.nanoTime() + PAUSE_NANOS);
      }
      operator.stopped = true;
      operator.join();
      long longestMillis = TimeUnit.NANOSECONDS.toMillis(operator.longestNanos);
      assertTrue(
          operator.longestNanos <= ACKNOWLEDGEMENT_NANOS,
          "a change was without an answer for " + longestMillis + " ms");
      assertTrue(operator.changes > 10, operator.changes + " changes");
    }
  }

  /** Sends one change after the other, each until it is acknowledged, to all voters in turn. */
  private static final class Operator extends Thread {

    private static final long ATTEMPT_NANOS = SECOND;

    private final LoopbackCluster cluster;
    private volatile boolean stopped;
    private volatile long longestNanos;
    private volatile int changes;

    Operator(LoopbackCluster cluster) {
      super("operator");
      this.cluster = cluster;
    }

    @Override
    public void run() {
      while (!stopped) {
        long startNanos = System.nanoTime();
        int attempt = 0;
        while (!isAcknowledged("voter-" + attempt++ % 3) && !stopped) {
          Thread.onSpinWait();
        }
        longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
        changes++;
      }
    }

    private boolean isAcknowledged(String through) {
      CompletableFuture<?> answer = cluster.propose(through, "change");
      try {
        answer.get(ATTEMPT_NANOS, TimeUnit.NANOSECONDS);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return true;
      } catch (ExecutionException | TimeoutException e) {
        return false;
      }
    }
  }
}
