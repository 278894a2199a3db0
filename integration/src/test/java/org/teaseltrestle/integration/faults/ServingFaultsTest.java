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

/** Tests of requests, holds and usage figures while nodes stop or are killed. */
public final class ServingFaultsTest extends ClusterFixture {

  private static final int OUTPUT_TOKENS = 150;

  /** Exit code of a Java process that has run its shutdown hooks after SIGTERM. */
  private static final int ENDED_BY_SIGTERM = 143;

  private static final Duration STOP_LIMIT = Duration.ofSeconds(40);

  /** Guards against streams that are cut when their node is asked to stop. */
  @Test
  public void gracefulStopCutsNothing() throws Exception {
    for (String stopped : List.of(FOLLOWER, leader())) {
      long before = started();
      final CompletableFuture<List<RequestResult>> running =
          replay("stop-" + stopped, List.of(stopped), Callers.streams(16, 0, OUTPUT_TOKENS));
      Await.until("streams run", LIMIT, () -> started() >= before + 16);
      noteGracefulStop(stopped);
      final int logged = log(stopped).length();
      cluster().process(stopped).terminate();
      assertAllWhole(running.get(60, TimeUnit.SECONDS));
      assertEquals(cluster().process(stopped).awaitEnd(STOP_LIMIT), ENDED_BY_SIGTERM);
      String since = log(stopped).substring(logged);
      assertTrue(since.contains("E1103"), since);
      assertFalse(since.contains("E5012"), since);
      cluster().startNode(stopped);
      cluster().awaitReady(stopped);
    }
    checkInvariants();
  }

  /** Guards against a hold that is placed twice, and against answers that differ. */
  @Test
  public void holdRunsOnceThroughAllNodes() throws Exception {
    Callers callers = new Callers();
    List<CompletableFuture<Callers.Reply>> replies = new ArrayList<>();
    for (String instance : others()) {
      replies.add(
          CompletableFuture.supplyAsync(
              () -> callers.hold(caller(instance), key(), "hold-1", "{\"lot\": 7}")));
    }
    for (CompletableFuture<Callers.Reply> reply : replies) {
      Callers.Reply got = reply.get(60, TimeUnit.SECONDS);
      assertTrue(got.status() == 200 || got.code().equals("idempotency_key_in_use"), "" + got);
    }
    List<Callers.Reply> repeats =
        others().stream()
            .map(instance -> callers.hold(caller(instance), key(), "hold-1", "{\"lot\": 7}"))
            .distinct()
            .toList();
    assertEquals(repeats.size(), 1, "" + repeats);
    assertEquals(repeats.get(0).status(), 200);
    assertEquals(
        callers.hold(caller(FOLLOWER), key(), "hold-1", "{\"lot\": 8}").code(),
        "idempotency_key_reused");
    assertEquals(runs("hold-1"), 1);
    checkInvariants();
  }

  /** Guards against a second run after the service has lost its answer. */
  @Test
  public void holdWithLostAnswerIsNotRunAgain() {
    loseAnswers(1);
    Callers callers = new Callers();
    for (String instance : others()) {
      Callers.Reply reply = callers.hold(caller(instance), key(), "hold-2", "{\"lot\": 9}");
      assertEquals(reply.code(), "outcome_unknown", instance + " " + reply);
    }
    loseAnswers(0);
    for (String instance : others()) {
      Callers.Reply reply = callers.hold(caller(instance), key(), "hold-2", "{\"lot\": 9}");
      assertEquals(reply.code(), "outcome_unknown", instance + " " + reply);
    }
    assertEquals(runs("hold-2"), 1);
    checkInvariants();
  }

  /** Guards against usage lost or counted twice with a killed node. */
  @Test
  public void usageOfKilledNodeCountsOnce() throws Exception {
    long[] before = settledUsage();
    List<RequestResult> answers =
        replay("usage", List.of(FOLLOWER), Callers.streams(12, 20, 20)).get(60, TimeUnit.SECONDS);
    cluster().kill(FOLLOWER);
    assertAllWhole(answers);
    final long tokens = answers.stream().mapToLong(RequestResult::tokens).sum();
    Await.until(
        "usage shows the killed node's requests", LIMIT, () -> usage()[0] - before[0] >= 12);
    cluster().startNode(FOLLOWER);
    cluster().awaitReady(FOLLOWER);
    long[] after = settledUsage();
    assertEquals(after[0] - before[0], 12);
    assertEquals(after[1] - before[1], tokens);
    checkInvariants();
  }

  private long runs(String idempotencyKey) {
    return cluster().fakes().records().runsByIdempotencyKey().getOrDefault(idempotencyKey, 0);
  }

  private void loseAnswers(int count) {
    for (String service : List.of("iard-app-1", "iard-app-2")) {
      cluster().fakes().ask(service, "faults", Json.object().put("loseAnswers", count));
    }
  }

  /** Returns the usage once it has stayed the same over some commit intervals. */
  private long[] settledUsage() {
    long[] last = usage();
    while (changes(last)) {
      last = usage();
    }
    return last;
  }

  private boolean changes(long[] last) {
    return Await.holds(Duration.ofSeconds(4), () -> usage()[0] != last[0] || usage()[1] != last[1]);
  }

  /** Returns requests and output tokens of the model over all windows. */
  private long[] usage() {
    long[] sums = new long[2];
    Answer answer = run("usage", "--json");
    for (JsonNode window : Json.parse(answer.output()).path("windows")) {
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
