package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.testng.annotations.Test;

/** Tests requests, holds and usage figures while nodes stop or are killed. */
public final class ServingFaultsTest extends ClusterFixture {

  private static final int OUTPUT_TOKENS = 150;

  /** Exit code of a Java process that has run its shutdown hooks after SIGTERM. */
  private static final int SIGTERM_EXIT_CODE = 143;

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

  /** Guards against streams that are interrupted when their node receives SIGTERM. */
  @Test
  public void gracefulStopInterruptsNothing() throws Exception {
    for (String stopped : List.of(FOLLOWER, leader())) {
      long before = startedRequests();
      final CompletableFuture<List<RequestResult>> pendingResults =
          replay("stop-" + stopped, List.of(stopped), Callers.streams(16, 0, OUTPUT_TOKENS));
      Await.until("streams are running", TIMEOUT, () -> startedRequests() >= before + 16);
      recordGracefulStop(stopped);
      final int previousLogLength = readLog(stopped).length();
      cluster().process(stopped).terminate();
      assertAllCompleted(pendingResults.get(60, TimeUnit.SECONDS));
      assertEquals(cluster().process(stopped).awaitExit(STOP_TIMEOUT), SIGTERM_EXIT_CODE);
      String newLog = readLog(stopped).substring(previousLogLength);
      assertTrue(newLog.contains("E1103"), newLog);
      assertFalse(newLog.contains("E5012"), newLog);
      cluster().startNode(stopped);
      cluster().awaitReady(stopped);
    }
    checkInvariants();
  }

  /** Guards against a hold that is placed twice, and against retries with different responses. */
  @Test
  public void holdRunsOnceThroughAllNodes() throws Exception {
    Callers callers = new Callers();
    List<CompletableFuture<Callers.Reply>> replies = new ArrayList<>();
    for (String instance : otherInstances()) {
      replies.add(
          CompletableFuture.supplyAsync(
              () -> callers.hold(callerAddress(instance), key(), "hold-1", "{\"lot\": 7}")));
    }
    for (CompletableFuture<Callers.Reply> reply : replies) {
      Callers.Reply got = reply.get(60, TimeUnit.SECONDS);
      assertTrue(got.status() == 200 || got.code().equals("idempotency_key_in_use"), "" + got);
    }
    List<Callers.Reply> retries =
        otherInstances().stream()
            .map(instance -> callers.hold(callerAddress(instance), key(), "hold-1", "{\"lot\": 7}"))
            .distinct()
            .toList();
    assertEquals(retries.size(), 1, "" + retries);
    assertEquals(retries.get(0).status(), 200);
    assertEquals(
        callers.hold(callerAddress(FOLLOWER), key(), "hold-1", "{\"lot\": 8}").code(),
        "idempotency_key_reused");
    assertEquals(runCount("hold-1"), 1);
    checkInvariants();
  }

  /** Guards against a second run after the response of the service was lost. */
  @Test
  public void holdWithLostResponseIsNotRunAgain() {
    loseResponses(1);
    Callers callers = new Callers();
    for (String instance : otherInstances()) {
      Callers.Reply reply = callers.hold(callerAddress(instance), key(), "hold-2", "{\"lot\": 9}");
      assertEquals(reply.code(), "outcome_unknown", instance + " " + reply);
    }
    loseResponses(0);
    for (String instance : otherInstances()) {
      Callers.Reply reply = callers.hold(callerAddress(instance), key(), "hold-2", "{\"lot\": 9}");
      assertEquals(reply.code(), "outcome_unknown", instance + " " + reply);
    }
    assertEquals(runCount("hold-2"), 1);
    checkInvariants();
  }

  /** Guards against usage lost or counted twice with a killed node. */
  @Test
  public void usageOfKilledNodeCountsOnce() throws Exception {
    long[] before = stableUsage();
    List<RequestResult> responses =
        replay("usage", List.of(FOLLOWER), Callers.streams(12, 20, 20)).get(60, TimeUnit.SECONDS);
    cluster().kill(FOLLOWER);
    assertAllCompleted(responses);
    final long tokens = responses.stream().mapToLong(RequestResult::tokens).sum();
    Await.until(
        "usage includes the killed node's requests", TIMEOUT, () -> usage()[0] - before[0] >= 12);
    cluster().startNode(FOLLOWER);
    cluster().awaitReady(FOLLOWER);
    long[] after = stableUsage();
    assertEquals(after[0] - before[0], 12);
    assertEquals(after[1] - before[1], tokens);
    checkInvariants();
  }

  private long runCount(String idempotencyKey) {
    return cluster().fakes().records().runsByIdempotencyKey().getOrDefault(idempotencyKey, 0);
  }

  private void loseResponses(int count) {
    for (String service : List.of("iard-app-1", "iard-app-2")) {
      cluster().fakes().postToFake(service, "faults", Json.object().put("loseAnswers", count));
    }
  }

  /** Returns the usage once it has not changed for 4 s, which is several commit intervals. */
  private long[] stableUsage() {
    long[] last = usage();
    while (usageChanges(last)) {
      last = usage();
    }
    return last;
  }

  private boolean usageChanges(long[] last) {
    return Await.holdsWithin(
        Duration.ofSeconds(4), () -> usage()[0] != last[0] || usage()[1] != last[1]);
  }

  /** Returns the number of requests and output tokens of the model over all windows. */
  private long[] usage() {
    long[] sums = new long[2];
    CommandResult result = run("usage", "--json");
    for (JsonNode window : Json.parse(result.output()).path("windows")) {
      for (JsonNode figure : window.path("figures")) {
        if (figure.path("item").asText().equals("pren-7b")) {
          sums[0] += figure.path("requests").asLong();
          sums[1] += figure.path("outputTokens").asLong();
        }
      }
    }
    return sums;
  }
}
