package org.teaseltrestle.node.replica;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.node.serving.ServingConfigurationService;
import org.teaseltrestle.node.serving.ServingConfigurationService.Outcome;
import org.testng.annotations.Test;

/** Tests of which nodes have a version of the configuration when it is acknowledged. */
public final class AcknowledgedVersionTest {

  private static final List<String> VOTERS = List.of("voter-0", "voter-1", "voter-2");
  private static final List<String> ENTRIES = List.of("entry-0", "entry-1", "entry-2");
  private static final int VERSIONS = 20;
  private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** Longest time until a change is acknowledged while a node does not respond. */
  private static final long ACKNOWLEDGEMENT_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static LoopbackCluster cluster() {
    LoopbackCluster cluster =
        new LoopbackCluster(3, DisseminationTreeSettings.FLAT, LoopbackCluster.Timing.PLATFORM);
    cluster.startVoters();
    cluster.awaitLeader();
    for (int i = 0; i < ENTRIES.size(); i++) {
      cluster.startNonVoterBelow(VOTERS.get(i), ENTRIES.get(i));
    }
    for (String entry : ENTRIES) {
      LoopbackCluster.await(
          "registration", () -> cluster.hasInstance(cluster.awaitLeader(), entry));
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

  private static Outcome publish(LoopbackCluster cluster, String node, long version) {
    return serviceAt(cluster, node).publish(String.valueOf(version).getBytes(UTF_8)).outcome();
  }

  private static Map<String, Long> versions(LoopbackCluster cluster) {
    Map<String, Long> versions = new TreeMap<>();
    cluster.nodes.forEach(
        (name, node) -> versions.put(name, node.plane().view().servingDocument().version()));
    return versions;
  }

  /**
   * Guards against an acknowledgement that is given before any node but the leader knows the
   * version: if the leader is lost in that moment, all others obey the version before.
   */
  @Test
  public void eachNodeHasVersionWhenItIsAcknowledged() {
    try (LoopbackCluster cluster = cluster()) {
      for (long version = 1; version <= VERSIONS; version++) {
        String node = VOTERS.get((int) (version % VOTERS.size()));
        assertEquals(publish(cluster, node, version), Outcome.ACCEPTED);
        Map<String, Long> known = versions(cluster);
        for (Map.Entry<String, Long> each : known.entrySet()) {
          assertTrue(each.getValue() >= version, "version " + version + " at " + known);
        }
      }
    }
  }

  /** Guards against a node that is gone and delays acknowledgements for good. */
  @Test
  public void isolatedNodeDelaysAcknowledgementForLimitedTime() {
    try (LoopbackCluster cluster = cluster()) {
      assertEquals(publish(cluster, "voter-0", 1), Outcome.ACCEPTED);
      cluster.isolate("entry-2");
      long sentAtNanos = System.nanoTime();
      Outcome outcome = Outcome.UNKNOWN;
      while (outcome == Outcome.UNKNOWN) {
        outcome = publish(cluster, "voter-0", 2);
      }
      long nanos = System.nanoTime() - sentAtNanos;
      assertEquals(outcome, Outcome.ACCEPTED);
      assertTrue(nanos < ACKNOWLEDGEMENT_NANOS, TimeUnit.NANOSECONDS.toMillis(nanos) + " ms");
      // A node that does not respond delays only the first change after it fell silent.
      assertEquals(publish(cluster, "voter-0", 3), Outcome.ACCEPTED);
    }
  }

  /**
   * Guards against a change that is never acknowledged because each time that it is sent it waits
   * anew for a node that is heard of and hears nothing.
   */
  @Test
  public void nodeThatHearsNothingDelaysAcknowledgementForLimitedTime() {
    try (LoopbackCluster cluster = cluster()) {
      assertEquals(publish(cluster, "voter-0", 1), Outcome.ACCEPTED);
      cluster.delayMessagesTo("entry-2", TimeUnit.MINUTES.toMillis(1));
      long sentAtNanos = System.nanoTime();
      Outcome outcome = Outcome.UNKNOWN;
      while (outcome == Outcome.UNKNOWN
          && System.nanoTime() - sentAtNanos < 2 * ACKNOWLEDGEMENT_NANOS) {
        outcome = publish(cluster, "voter-0", 2);
      }
      long nanos = System.nanoTime() - sentAtNanos;
      assertEquals(outcome, Outcome.ACCEPTED);
      assertTrue(nanos < ACKNOWLEDGEMENT_NANOS, TimeUnit.NANOSECONDS.toMillis(nanos) + " ms");
    }
  }
}
