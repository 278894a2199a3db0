package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.testng.annotations.Test;

/** Tests the usage reports that reach the platform. */
public final class UsageFaultsTest extends ClusterFixture {

  private static final int REQUESTS = 40;
  private static final int OUTPUT_TOKENS = 20;

  /** Requests and output tokens. */
  private record Totals(long requests, long outputTokens) {}

  @Override
  protected ObjectNode nodeSettings() {
    return Json.object().put("usageWindowSeconds", 5);
  }

  /** Guards against a new leader that reports windows with other figures, twice or not at all. */
  @Test
  public void reportsMatchResponsesAcrossLeaderLoss() throws Exception {
    String leader = leader();
    List<RequestResult> responses =
        replay("reports", otherInstances(leader), Callers.streams(REQUESTS, 200, OUTPUT_TOKENS))
            .get(90, TimeUnit.SECONDS);
    cluster().kill(leader);
    assertAllCompleted(responses);
    Totals expected = new Totals(REQUESTS, (long) REQUESTS * OUTPUT_TOKENS);
    Await.until("all usage is reported", TIMEOUT, () -> reportedTotals().equals(expected));
    cluster().startNode(leader);
    cluster().awaitReady(leader);
    assertEquals(reportedTotals(), expected);
    checkInvariants();
  }

  /** Returns the sums over all windows, each counted once, as the platform bills them. */
  private Totals reportedTotals() {
    Map<String, JsonNode> windows = new HashMap<>();
    for (RecordEntry entry : cluster().fakes().records().platform()) {
      if (entry.kind().equals("usage")) {
        windows.putIfAbsent(entry.text("windowId"), entry.details().path("figures"));
      }
    }
    long requests = 0;
    long outputTokens = 0;
    for (JsonNode figures : windows.values()) {
      for (JsonNode figure : figures) {
        if (figure.path("item").asText().equals("pren-7b")) {
          requests += figure.path("requests").asLong();
          outputTokens += figure.path("outputTokens").asLong();
        }
      }
    }
    return new Totals(requests, outputTokens);
  }
}
