package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.teaseltrestle.commandline.ExitCode;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.testng.annotations.Test;

/** Tests of keys that are withdrawn while nodes are connected, cut off or restarted. */
public final class KeyFaultsTest extends ClusterFixture {

  private static final String CUT = "entry-3";
  private static final long KEY_LEASE_MILLIS = 6_000;
  private static final Duration NOT_READY_WATCHED = Duration.ofSeconds(8);

  @Override
  protected ObjectNode nodeSettings() {
    return Json.object().put("keyLeaseMilliseconds", KEY_LEASE_MILLIS);
  }

  /** Guards against a kept-alive connection on which a withdrawn key still works. */
  @Test
  public void withdrawalStopsNextRequestOfEveryConnection() {
    String key = issueKey();
    Callers callers = new Callers();
    for (String instance : others()) {
      Await.until(
          instance + " knows the key",
          LIMIT,
          () -> callers.get(caller(instance), key).status() == 200);
    }
    int connections = callers.connections();
    Answer withdrawn = withdraw(key, 15, others());
    assertEquals(withdrawn.code(), ExitCode.DONE, withdrawn.error() + withdrawn.output());
    for (String instance : others()) {
      assertEquals(callers.get(caller(instance), key).code(), "key_withdrawn", instance);
    }
    assertEquals(callers.connections(), connections);
    checkInvariants();
  }

  /** Guards against a withdrawal called final while a cut-off node accepts the key. */
  @Test
  public void cutOffNodeAcceptsKeysOnlyUntilItsLeaseEnds() {
    String key = issueKey();
    Callers callers = new Callers();
    Await.until(CUT + " knows the key", LIMIT, () -> callers.get(caller(CUT), key).status() == 200);
    cluster().cutBothWays(List.of(CUT), others(CUT));
    assertEquals(callers.get(caller(CUT), key).status(), 200);
    Answer early = withdraw(key, 0, others(CUT));
    assertEquals(early.code(), ExitCode.NOT_YET_IN_FORCE, early.error() + early.output());
    assertTrue(early.output().contains(CUT), early.output());
    Await.until(
        CUT + " refuses keys after its lease",
        LIMIT,
        () -> callers.get(caller(CUT), key).code().equals("key_lease_expired"));
    assertEquals(callers.getOpen(caller(CUT)).status(), 200);
    Answer late = withdraw(key, 30, others(CUT));
    assertEquals(late.code(), ExitCode.DONE, late.error() + late.output());
    cluster().heal();
    for (String instance : others()) {
      Await.until(
          instance + " refuses the withdrawn key",
          LIMIT,
          () -> callers.get(caller(instance), key).code().equals("key_withdrawn"));
    }
    checkInvariants();
  }

  /** Guards against a node that serves an old state because it was started while cut off. */
  @Test
  public void nodeStartedWhileCutOffIsNotReady() {
    String voter = CUT;
    for (String instance : List.of(voter, FOLLOWER)) {
      cluster().kill(instance);
      cluster().cutBothWays(List.of(instance), others(instance));
      cluster().startNode(instance);
      Await.until(
          instance + " answers",
          LIMIT,
          () -> HttpClients.status("http://" + caller(instance) + "/health/live") == 200);
    }
    assertFalse(
        Await.holds(
            NOT_READY_WATCHED, () -> cluster().isReady(voter) || cluster().isReady(FOLLOWER)));
    assertEquals(new Callers().get(caller(voter), key()).code(), "not_ready");
    cluster().heal();
    cluster().awaitReady(voter);
    cluster().awaitReady(FOLLOWER);
    checkInvariants();
  }

  private Answer withdraw(String key, int waitSeconds, List<String> instances) {
    return runAt(
        instances,
        "keys",
        "withdraw",
        key.substring(3, 19),
        "--wait-seconds",
        Integer.toString(waitSeconds));
  }
}
