package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.replica.DisseminationTreeSettings;
import org.teaseltrestle.node.replica.LoopbackCluster;
import org.testng.annotations.Test;

/** Tests of what a node answers that has lost contact while the configuration changes elsewhere. */
public final class IsolatedRefusalTest {

  private static final DisseminationTreeSettings TREE = DisseminationTreeSettings.FLAT;
  private static final String VOTER = "voter-0";
  private static final String ENTRY = "entry-1";
  private static final long LATE_MILLISECONDS = 3_000;

  private static final FakeServer.Behaviour ANSWER =
      (request, output) -> {
        FakeServer.send(
            output, 200, "X-Request-Id: " + request.header("X-Request-Id") + "\r\n", "");
        return false;
      };

  private static ControlPlane startEntry(LoopbackCluster cluster) {
    cluster.startVoters();
    cluster.awaitLeader();
    ControlPlane entry = cluster.startNonVoterBelow(VOTER, ENTRY).plane();
    cluster.awaitApplied(ENTRY, publish(cluster, 1, "key held"));
    LoopbackCluster.await("readiness", entry::isReady);
    return entry;
  }

  private static long publish(LoopbackCluster cluster, long version, String document) {
    return cluster.publish(VOTER, version, ByteString.copyFromUtf8(document));
  }

  /** Isolates the entry node, adds a route and a key elsewhere, and waits until its news is old. */
  private static void isolateBeforeChange(LoopbackCluster cluster) {
    cluster.isolate(ENTRY);
    final long isolatedAtNanos = System.nanoTime();
    publish(cluster, 2, "key held\nkey added\nroute /added/");
    LoopbackCluster.awaitNanos(isolatedAtNanos + TREE.rootTimeoutNanos() + 1);
  }

  private static void assertOutdated(HttpResponse<String> response) {
    assertEquals(response.statusCode(), 503, response.body());
    assertTrue(response.headers().firstValue("Retry-After").isPresent(), response.body());
    assertTrue(response.body().contains("\"not_run\":true"), response.body());
  }

  /** Guards against a final refusal (404) of a route that was added while the node was cut off. */
  @Test
  public void routeAddedElsewhereIsNotRefusedForGood() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, TREE);
        FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(startEntry(cluster), server)) {
      LoopbackCluster.await(
          "final refusal", () -> relay.post("/added/x", "id-1", "held").statusCode() == 404);
      isolateBeforeChange(cluster);
      assertOutdated(relay.post("/added/x", "id-2", "held"));
      cluster.heal(ENTRY);
      LoopbackCluster.await(
          "added route", () -> relay.post("/added/x", "id-3", "held").statusCode() == 200);
      LoopbackCluster.await(
          "final refusal", () -> relay.post("/missing/x", "id-4", "held").statusCode() == 404);
    }
  }

  /** Guards against a final refusal (401) of a key that was added while the node was cut off. */
  @Test
  public void keyAddedElsewhereIsNotRefusedForGood() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, TREE);
        FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(startEntry(cluster), server)) {
      LoopbackCluster.await(
          "final refusal", () -> relay.post("/safe/x", "id-1", "added").statusCode() == 401);
      isolateBeforeChange(cluster);
      assertOutdated(relay.post("/safe/x", "id-2", "added"));
    }
  }

  /** Guards against an isolated node that stops serving what its own configuration allows. */
  @Test
  public void isolatedNodeServesWhatItsConfigurationAllows() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, TREE);
        FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(startEntry(cluster), server)) {
      isolateBeforeChange(cluster);
      assertEquals(relay.post("/safe/x", "id-1", "held").statusCode(), 200);
    }
  }

  /** Guards against a final refusal (404) by news that was sent long ago and has just arrived. */
  @Test
  public void routeAddedElsewhereIsNotRefusedForGoodByLateNews() {
    try (LoopbackCluster cluster = new LoopbackCluster(3, TREE);
        FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(startEntry(cluster), server)) {
      cluster.delayMessagesTo(ENTRY, LATE_MILLISECONDS);
      // Long enough for the first late news.
      LoopbackCluster.awaitNanos(
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LATE_MILLISECONDS + 1_500));
      publish(cluster, 2, "key held\nkey added\nroute /added/");
      long acknowledgedAtNanos = System.nanoTime();
      LoopbackCluster.awaitNanos(acknowledgedAtNanos + TimeUnit.SECONDS.toNanos(2));
      assertOutdated(relay.post("/added/x", "id-1", "held"));
    }
  }
}
