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

/** Tests of lost and frozen leaders and of operators who race and resend. */
public final class LeaderFaultsTest extends ClusterFixture {

  /** Guards against accepted lists lost, or requests of other nodes cut, with a killed leader. */
  @Test
  public void killedLeaderLosesNothing() throws Exception {
    mustApplyNext();
    String leader = leader();
    final long before = revision(leader);
    final long startedBefore = started();
    final CompletableFuture<List<RequestResult>> running =
        replay("leader-killed", others(leader), Callers.streams(40, 150, 60));
    Await.until("streams run", LIMIT, () -> started() > startedBefore + 3);
    cluster().kill(leader);
    assertEquals(applyOver(before, others(leader)).code(), ExitCode.DONE);
    assertTrue(revision(leader()) > before);
    assertAllWhole(running.get(60, TimeUnit.SECONDS));
    cluster().startNode(leader);
    cluster().awaitReady(leader);
    awaitRevision(before + 1);
    checkInvariants();
  }

  /** Guards against a leader that acts or reverts lists after a freeze longer than its lease. */
  @Test
  public void frozenLeaderHasNoEffect() throws Exception {
    mustApplyNext();
    String frozen = leader();
    long before = revision(frozen);
    final CompletableFuture<List<RequestResult>> running =
        replay("leader-frozen", others(frozen), Callers.streams(30, 150, 60));
    cluster().process(frozen).freeze();
    try {
      assertEquals(applyOver(before, others(frozen)).code(), ExitCode.DONE);
      Await.until(
          "another leader has authority",
          LIMIT,
          () ->
              others(frozen).stream()
                  .map(other -> status(other).path("authorityInstance").asText(""))
                  .anyMatch(name -> !name.isEmpty() && !name.equals(frozen)));
    } finally {
      cluster().process(frozen).unfreeze();
    }
    awaitRevision(before + 1);
    mustApplyNext();
    assertAllWhole(running.get(60, TimeUnit.SECONDS));
    awaitRevision(before + 2);
    checkInvariants();
  }

  /** Guards against two operators who both win, and a resend that changes something. */
  @Test
  public void racingOperatorsAndResends() throws Exception {
    mustApplyNext();
    String leader = leader();
    String base = Long.toString(revision(leader));
    String[] one = nextLists().after("apply", "--json", "--base-revision", base);
    String[] two = nextLists().after("apply", "--json", "--base-revision", base);
    List<String> back = others("entry-1", "entry-2");
    CompletableFuture<Answer> first = CompletableFuture.supplyAsync(() -> run(one));
    CompletableFuture<Answer> second = CompletableFuture.supplyAsync(() -> runAt(back, two));
    ExitCode firstCode = first.get(60, TimeUnit.SECONDS).code();
    ExitCode secondCode = second.get(60, TimeUnit.SECONDS).code();
    boolean firstWon = firstCode == ExitCode.DONE;
    assertEquals(firstWon ? secondCode : firstCode, ExitCode.CONFLICT);
    assertEquals(firstWon ? firstCode : secondCode, ExitCode.DONE);
    assertEquals(revision(leader), Long.parseLong(base) + 1);
    Answer answer = firstWon ? first.get() : second.get();
    cluster().kill(leader);
    Answer resent = runAt(others(leader), firstWon ? one : two);
    assertEquals(resent.code(), ExitCode.DONE, resent.error());
    assertEquals(change(resent), change(answer));
    assertEquals(runAt(others(leader), firstWon ? two : one).code(), ExitCode.CONFLICT);
    assertEquals(revision(leader()), Long.parseLong(base) + 1);
    checkInvariants();
  }

  /** Guards against a failure domain that stops serving when it is cut off. */
  @Test
  public void cutOffDomainGoesOnServing() throws Exception {
    String cut = leader();
    final long before = revision(cut);
    cluster().cutPlatform(cut);
    cluster().cutBothWays(List.of(cut), others(cut));
    CompletableFuture<List<RequestResult>> running =
        replay("domain-cut", List.of(cut), Callers.streams(20, 200, 40));
    assertEquals(applyOver(before, others(cut)).code(), ExitCode.DONE);
    assertAllWhole(running.get(60, TimeUnit.SECONDS));
    assertEquals(revision(cut), before);
    cluster().heal();
    awaitRevision(before + 1);
    checkInvariants();
  }

  private static String change(Answer answer) {
    var change = Json.parse(answer.output());
    return change.path("appliedIndex").asLong() + " " + change.path("listsRevision").asLong();
  }
}
