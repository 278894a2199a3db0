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

/** Tests the withdrawal of keys while nodes are connected, partitioned or restarted. */
public final class KeyFaultsTest extends ClusterFixture {

  private static final String PARTITIONED = "entry-3";
  private static final long KEY_LEASE_MILLIS = 6_000;
  private static final Duration NOT_READY_PERIOD = Duration.ofSeconds(8);

  @Override
  protected ObjectNode nodeSettings() {
    return Json.object().put("keyLeaseMilliseconds", KEY_LEASE_MILLIS);
  }

  /** Guards against a keep-alive connection on which a withdrawn key still works. */
  @Test
  public void withdrawalStopsNextRequestOfEveryConnection() {
    String key = issueKey();
    Callers callers = new Callers();
    for (String instance : otherInstances()) {
      Await.until(
          instance + " knows the key",
          TIMEOUT,
          () -> callers.get(callerAddress(instance), key).status() == 200);
    }
    int connections = callers.connections();
    CommandResult withdrawn = withdraw(key, 15, otherInstances());
    assertEquals(withdrawn.code(), ExitCode.DONE, withdrawn.error() + withdrawn.output());
    for (String instance : otherInstances()) {
      assertEquals(callers.get(callerAddress(instance), key).code(), "key_withdrawn", instance);
    }
    assertEquals(callers.connections(), connections);
    checkInvariants();
  }

  /** Guards against a withdrawal reported as complete while a partitioned node accepts the key. */
  @Test
  public void partitionedNodeAcceptsKeysOnlyUntilItsLeaseEnds() {
    String key = issueKey();
    Callers callers = new Callers();
    Await.until(
        PARTITIONED + " knows the key",
        TIMEOUT,
        () -> callers.get(callerAddress(PARTITIONED), key).status() == 200);
    cluster().partitionBothWays(List.of(PARTITIONED), otherInstances(PARTITIONED));
    assertEquals(callers.get(callerAddress(PARTITIONED), key).status(), 200);
    CommandResult early = withdraw(key, 0, otherInstances(PARTITIONED));
    assertEquals(early.code(), ExitCode.NOT_YET_IN_FORCE, early.error() + early.output());
    assertTrue(early.output().contains(PARTITIONED), early.output());
    Await.until(
        PARTITIONED + " refuses keys after its lease",
        TIMEOUT,
        () -> callers.get(callerAddress(PARTITIONED), key).code().equals("key_lease_expired"));
    assertEquals(callers.getOpen(callerAddress(PARTITIONED)).status(), 200);
    CommandResult late = withdraw(key, 30, otherInstances(PARTITIONED));
    assertEquals(late.code(), ExitCode.DONE, late.error() + late.output());
    cluster().heal();
    for (String instance : otherInstances()) {
      Await.until(
          instance + " refuses the withdrawn key",
          TIMEOUT,
          () -> callers.get(callerAddress(instance), key).code().equals("key_withdrawn"));
    }
    checkInvariants();
  }

  /** Guards against a node that serves stale state because it was started while partitioned. */
  @Test
  public void nodeStartedWhilePartitionedIsNotReady() {
    String voter = PARTITIONED;
    for (String instance : List.of(voter, FOLLOWER)) {
      cluster().kill(instance);
      cluster().partitionBothWays(List.of(instance), otherInstances(instance));
      cluster().startNode(instance);
      Await.until(
          instance + " responds",
          TIMEOUT,
          () -> HttpClients.status("http://" + callerAddress(instance) + "/health/live") == 200);
    }
    assertFalse(
        Await.holdsWithin(
            NOT_READY_PERIOD, () -> cluster().isReady(voter) || cluster().isReady(FOLLOWER)));
    assertEquals(new Callers().get(callerAddress(voter), key()).code(), "not_ready");
    cluster().heal();
    cluster().awaitReady(voter);
    cluster().awaitReady(FOLLOWER);
    checkInvariants();
  }

  private CommandResult withdraw(String key, int waitSeconds, List<String> instances) {
    return runAt(
        instances,
        "keys",
        "withdraw",
        key.substring(3, 19),
        "--wait-seconds",
        Integer.toString(waitSeconds));
  }
}
