package org.teaseltrestle.node.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.node.serving.ServingConfigurationService;
import org.teaseltrestle.node.serving.ServingConfigurationService.Outcome;
import org.testng.annotations.Test;

/**
 * Tests of a voter whose messages to the other voters are lost while it still receives theirs, and
 * of the nodes below it.
 */
public final class LostRenewalsTest {

  private static final List<String> ENTRIES = List.of("entry-0", "entry-1", "entry-2");
  private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
  private static final long CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Several times the silence after which the leader no longer waits for an instance. */
  private static final long CUT_NANOS = TimeUnit.SECONDS.toNanos(9);

  /** Lateness of the node's messages; without it the node would apply a change just in time. */
  private static final long LATE_MILLISECONDS = 150;

  private static LoopbackCluster cluster() {
    LoopbackCluster cluster =
        new LoopbackCluster(3, DisseminationTreeSettings.FLAT, LoopbackCluster.Timing.PLATFORM);
    cluster.startVoters();
    cluster.awaitLeader();
    for (int i = 0; i < ENTRIES.size(); i++) {
      cluster.startNonVoterBelow("voter-" + i, ENTRIES.get(i));
    }
    for (String entry : ENTRIES) {
      LoopbackCluster.await(
          "registration", () -> cluster.hasInstance(cluster.awaitLeader(), entry));
      LoopbackCluster.await("ready", cluster.node(entry).plane()::isReady);
    }
    return cluster;
  }

  private static ServingConfigurationService serviceAt(LoopbackCluster cluster, String node) {
    return new ServingConfigurationService(
        cluster.node(node).plane(),
        document ->
            new ServingConfiguration(
                Long.parseLong(new String(document, UTF_8)),
                List.of(),
                List.of(),
                List.of(),
                CallerLimits.DEFAULT),
        String::valueOf,
        MonotonicClock.SYSTEM,
        WallClock.SYSTEM,
        RESPONSE_TIMEOUT_NANOS);
  }

  private static void publish(LoopbackCluster cluster, String node, long version) {
    byte[] document = String.valueOf(version).getBytes(UTF_8);
    long giveUpNanos = System.nanoTime() + CUT_NANOS;
    while (serviceAt(cluster, node).publish(document).outcome() != Outcome.ACCEPTED) {
      assertTrue(System.nanoTime() - giveUpNanos < 0, "version " + version);
    }
  }

  private static long versionAt(LoopbackCluster cluster, String node) {
    return cluster.node(node).plane().view().servingDocument().version();
  }

  /**
   * Guards against a change that is acknowledged without a node in touch, because the node's
   * renewals are lost above its parent while the parent still has recent news for it.
   */
  @Test
  public void nodeBelowMutedParentIsNotPassedOver() {
    try (LoopbackCluster cluster = cluster()) {
      String leader = cluster.awaitLeader();
      String muted = leader.equals("voter-0") ? "voter-1" : "voter-0";
      String entry = "entry-" + muted.charAt(muted.length() - 1);
      LoopbackCluster.await(
          "parent", () -> cluster.node(entry).plane().status().leader().equals(muted));
      publish(cluster, leader, 1);
      cluster.delayMessagesTo(entry, LATE_MILLISECONDS);
      cluster.muteVoter(muted);
      long endNanos = System.nanoTime() + CUT_NANOS;
      for (long version = 2; System.nanoTime() - endNanos < 0; version++) {
        long nextNanos = System.nanoTime() + CHANGE_INTERVAL_NANOS;
        publish(cluster, leader, version);
        assertEquals(versionAt(cluster, entry), version, "version at the acknowledgement");
        LoopbackCluster.awaitNanos(nextNanos);
      }
    }
  }
}
