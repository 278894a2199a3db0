package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.commandline.ExitCode;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.testng.annotations.Test;

/** Tests killed and frozen leaders, and operators whose changes race or are retried. */
public final class LeaderFaultsTest extends ClusterFixture {

  /**
   * Guards against a killed leader that loses accepted lists or interrupts other nodes' requests.
   */
  @Test
  public void killedLeaderLosesNothing() throws Exception {
    applyNewListsSuccessfully();
    String leader = leader();
    final long before = activeRevision(leader);
    final long startedBefore = startedRequests();
    final CompletableFuture<List<RequestResult>> pendingResults =
        replay("leader-killed", otherInstances(leader), Callers.streams(40, 150, 60));
    Await.until("streams are running", TIMEOUT, () -> startedRequests() > startedBefore + 3);
    cluster().kill(leader);
    assertEquals(applyToBaseRevision(before, otherInstances(leader)).code(), ExitCode.DONE);
    assertTrue(activeRevision(leader()) > before);
    assertAllCompleted(pendingResults.get(60, TimeUnit.SECONDS));
    cluster().startNode(leader);
    cluster().awaitReady(leader);
    awaitRevision(before + 1);
    checkInvariants();
  }

  /**
   * Guards against a leader that acts externally or reverts lists after a freeze longer than its
   * lease.
   */
  @Test
  public void frozenLeaderHasNoEffect() throws Exception {
    applyNewListsSuccessfully();
    String frozen = leader();
    long before = activeRevision(frozen);
    final CompletableFuture<List<RequestResult>> pendingResults =
        replay("leader-frozen", otherInstances(frozen), Callers.streams(30, 150, 60));
    cluster().process(frozen).freeze();
    try {
      assertEquals(applyToBaseRevision(before, otherInstances(frozen)).code(), ExitCode.DONE);
      Await.until(
          "another leader has authority",
          TIMEOUT,
          () ->
              otherInstances(frozen).stream()
                  .map(other -> status(other).path("authorityInstance").asText(""))
                  .anyMatch(name -> !name.isEmpty() && !name.equals(frozen)));
    } finally {
      cluster().process(frozen).unfreeze();
    }
    awaitRevision(before + 1);
    applyNewListsSuccessfully();
    assertAllCompleted(pendingResults.get(60, TimeUnit.SECONDS));
    awaitRevision(before + 2);
    checkInvariants();
  }

  /** Guards against two racing changes that both succeed, and a retry that changes something. */
  @Test
  public void racingChangesConflictAndRetryChangesNothing() throws Exception {
    applyNewListsSuccessfully();
    String leader = leader();
    String base = Long.toString(activeRevision(leader));
    String[] firstCommand =
        writeNextLists().commandWithFiles("apply", "--json", "--base-revision", base);
    String[] secondCommand =
        writeNextLists().commandWithFiles("apply", "--json", "--base-revision", base);
    List<String> otherNodes = otherInstances("entry-1", "entry-2");
    CompletableFuture<CommandResult> first = CompletableFuture.supplyAsync(() -> run(firstCommand));
    CompletableFuture<CommandResult> second =
        CompletableFuture.supplyAsync(() -> runAt(otherNodes, secondCommand));
    ExitCode firstCode = first.get(60, TimeUnit.SECONDS).code();
    ExitCode secondCode = second.get(60, TimeUnit.SECONDS).code();
    boolean firstSucceeded = firstCode == ExitCode.DONE;
    assertEquals(firstSucceeded ? secondCode : firstCode, ExitCode.CONFLICT);
    assertEquals(firstSucceeded ? firstCode : secondCode, ExitCode.DONE);
    assertEquals(activeRevision(leader), Long.parseLong(base) + 1);
    CommandResult accepted = firstSucceeded ? first.get() : second.get();
    cluster().kill(leader);
    CommandResult retried =
        runAt(otherInstances(leader), firstSucceeded ? firstCommand : secondCommand);
    assertEquals(retried.code(), ExitCode.DONE, retried.error());
    assertEquals(change(retried), change(accepted));
    assertEquals(
        runAt(otherInstances(leader), firstSucceeded ? secondCommand : firstCommand).code(),
        ExitCode.CONFLICT);
    assertEquals(activeRevision(leader()), Long.parseLong(base) + 1);
    checkInvariants();
  }

  /** Guards against a failure domain that stops serving when it is partitioned. */
  @Test
  public void partitionedDomainContinuesServing() throws Exception {
    String partitioned = leader();
    final long before = activeRevision(partitioned);
    cluster().partitionFromPlatform(partitioned);
    cluster().partitionBothWays(List.of(partitioned), otherInstances(partitioned));
    CompletableFuture<List<RequestResult>> pendingResults =
        replay("domain-cut", List.of(partitioned), Callers.streams(20, 200, 40));
    assertEquals(applyToBaseRevision(before, otherInstances(partitioned)).code(), ExitCode.DONE);
    assertAllCompleted(pendingResults.get(60, TimeUnit.SECONDS));
    assertEquals(activeRevision(partitioned), before);
    cluster().heal();
    awaitRevision(before + 1);
    checkInvariants();
  }

  private static String change(CommandResult result) {
    var change = Json.parse(result.output());
    return change.path("appliedIndex").asLong() + " " + change.path("listsRevision").asLong();
  }
}
