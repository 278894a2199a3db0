package org.teaseltrestle.testkit.checker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.FakeRecords;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against checks that cannot fail: each invariant gets at least one deliberately faulty
 * record.
 */
public final class InvariantCheckerTest {

  private static final String KEY = "tt_0123456789abcdef_SecretSecret";

  private final List<RecordEntry> engines = new ArrayList<>();
  private final List<RecordEntry> services = new ArrayList<>();
  private final List<RecordEntry> platform = new ArrayList<>();
  private final List<RequestResult> results = new ArrayList<>();

  /** A fault that is added to an otherwise correct run. */
  private interface Fault {
    void injectInto(InvariantCheckerTest run, RunEvidence.Builder evidence);
  }

  private static RunEvidence evidence(Fault fault) {
    InvariantCheckerTest run = new InvariantCheckerTest();
    run.addCorrectRun();
    RunEvidence.Builder faultyParts =
        RunEvidence.builder(new FakeRecords(List.of(), List.of(), List.of()));
    fault.injectInto(run, faultyParts);
    RunEvidence.Builder evidence =
        RunEvidence.builder(new FakeRecords(run.engines, run.services, run.platform));
    evidence.results(run.results).faults(RunEvidence.Faults.PLANNED_ONLY).keys(List.of(KEY));
    evidence.gracefulStop("stopped:1", 5000).acceptedRevision(3, 1000).log("n1", "E1004 started");
    RunEvidence extra = faultyParts.build();
    extra.observedRevisions.forEach(evidence::observedRevision);
    extra.withdrawals.forEach(evidence::withdrawal);
    extra.logs.forEach(evidence::log);
    return evidence.build();
  }

  private static void addEntry(
      List<RecordEntry> list, String fake, long at, String kind, ObjectNode details) {
    list.add(new RecordEntry(list.size() + 1L, at, fake, kind, details));
  }

  private void addEngineEntry(long at, String kind, ObjectNode details) {
    addEntry(engines, "e1", at, kind, details);
  }

  private void addServiceRun(String requestId, String account, String key) {
    ObjectNode details = Json.object().put("requestId", requestId).put("account", account);
    details.put("idempotencyKey", key).put("method", "POST").put("path", "/holds");
    addEntry(services, "s1", 1000, "ran", details);
  }

  private static ObjectNode order(String id, long fencing, String role, String effect) {
    ObjectNode order = Json.object().put("orderId", id).put("fencingNumber", fencing);
    return order.put("kind", "set_role").put("role", role).put("effect", effect);
  }

  private static ObjectNode sentUnderAuthority(String instance, long term) {
    return Json.object().put("instance", instance).put("authority", Long.toString(term << 24));
  }

  private static ObjectNode sentUnderPlacementTerm(String instance, String id, long term) {
    return Json.object()
        .put("instance", instance)
        .put("orderId", id)
        .put("fencingNumber", term << 24);
  }

  private static ObjectNode usage(String instance, long term, int requests) {
    ObjectNode usage = sentUnderAuthority(instance, term).put("windowId", "w1");
    usage.putArray("figures").addObject().put("requests", requests);
    return usage;
  }

  private static ObjectNode newWork() {
    return Json.object().put("path", "/v1/completions");
  }

  private void addResult(String id, ReplayOutcome outcome, @Nullable String notRun, String digest) {
    addResult(id, "stopped:1", outcome, notRun, digest);
  }

  private void addResult(
      String id, String entry, ReplayOutcome outcome, @Nullable String notRun, String digest) {
    int index = results.size();
    results.add(
        new RequestResult(
            index, "acc", entry, id, outcome, 200, null, notRun, null, digest, null, 2000, 2100, 5,
            5, 3));
  }

  private void addCorrectRun() {
    addEngineEntry(
        1000, "accepted", Json.object().put("requestId", "r1").put("promptDigest", "d1"));
    addEngineEntry(1001, "started", Json.object().put("requestId", "r1"));
    addEngineEntry(1100, "order", order("o1", 1, "decode", "applied"));
    addEngineEntry(1101, "order", order("o1", 1, "decode", "repeated"));
    addEngineEntry(1200, "order", order("o0", 0, "mixed", "refused_stale"));
    addEngineEntry(1900, "received", newWork());
    addEngineEntry(2000, "leaving", Json.object());
    addEngineEntry(3000, "received", newWork());
    addServiceRun("r2", "acc", "k1");
    addEntry(
        platform,
        "platform",
        1000,
        "order",
        sentUnderAuthority("n1", 1).put("orderId", "p1").put("count", 1));
    addEntry(
        platform,
        "platform",
        2000,
        "order",
        sentUnderAuthority("n2", 2).put("orderId", "p1").put("count", 1));
    addEntry(platform, "platform", 2000, "order", sentUnderPlacementTerm("n2", "p0", 1));
    addEntry(platform, "platform", 2000, "usage", usage("n1", 1, 4));
    addEntry(platform, "platform", 2001, "usage", usage("n2", 2, 4));
    addResult("r1", ReplayOutcome.COMPLETED, null, "d1");
    addResult("r2", ReplayOutcome.COMPLETED, null, "body");
    addResult("r3", ReplayOutcome.REFUSED, "true", "d3");
  }

  @DataProvider(name = "faults")
  static Object[][] faults() {
    return new Object[][] {
      {
        "same fencing number",
        1,
        (Fault)
            (run, parts) -> run.addEngineEntry(1300, "order", order("o2", 1, "mixed", "applied"))
      },
      {
        "order ID with two contents",
        1,
        (Fault)
            (run, parts) -> run.addEngineEntry(1300, "order", order("o1", 1, "mixed", "repeated"))
      },
      {
        "second role change",
        1,
        (Fault)
            (run, parts) ->
                run.addEngineEntry(1300, "order", order("o3", 3, "mixed", "refused_busy"))
      },
      {
        "interrupted by a planned change",
        2,
        (Fault) (run, parts) -> run.addResult("r4", "other:1", ReplayOutcome.BROKEN, null, "d4")
      },
      {
        "stale order applied",
        3,
        (Fault)
            (run, parts) -> run.addEngineEntry(1300, "order", order("o0", 0, "mixed", "applied"))
      },
      {
        "run for another account", 4, (Fault) (run, parts) -> run.addServiceRun("r1", "other", "k2")
      },
      {
        "key in a record",
        4,
        (Fault)
            (run, parts) -> run.addEngineEntry(1300, "received", newWork().put("query", "x=" + KEY))
      },
      {"key in a log", 4, (Fault) (run, parts) -> parts.log("n2", "caller sent " + KEY)},
      {
        "withdrawn key",
        4,
        (Fault) (run, parts) -> parts.withdrawal(new RunEvidence.Withdrawal("acc", 1500))
      },
      {
        "former leader sends",
        5,
        (Fault)
            (run, parts) ->
                addEntry(
                    run.platform,
                    "platform",
                    2100,
                    "order",
                    sentUnderAuthority("n1", 1).put("orderId", "p2"))
      },
      {
        "former leader sends its own order",
        5,
        (Fault)
            (run, parts) ->
                addEntry(
                    run.platform, "platform", 2100, "order", sentUnderPlacementTerm("n1", "p4", 1))
      },
      {
        "two senders of a term",
        5,
        (Fault)
            (run, parts) ->
                addEntry(
                    run.platform,
                    "platform",
                    2100,
                    "order",
                    sentUnderAuthority("n3", 2).put("orderId", "p3"))
      },
      {
        "content of a platform order changes",
        5,
        (Fault)
            (run, parts) ->
                addEntry(
                    run.platform,
                    "platform",
                    2100,
                    "order",
                    sentUnderAuthority("n2", 2).put("orderId", "p1").put("count", 2))
      },
      {
        "different figures",
        6,
        (Fault) (run, parts) -> addEntry(run.platform, "platform", 2100, "usage", usage("n2", 2, 5))
      },
      {
        "former leader reports usage",
        6,
        (Fault) (run, parts) -> addEntry(run.platform, "platform", 2100, "usage", usage("n1", 1, 4))
      },
      {
        "wrong response",
        7,
        (Fault) (run, parts) -> run.addResult("r5", ReplayOutcome.WRONG, null, "d5")
      },
      {
        "response of another request",
        7,
        (Fault) (run, parts) -> run.addResult("r1", ReplayOutcome.COMPLETED, null, "d1")
      },
      {
        "prompt of another caller",
        7,
        (Fault)
            (run, parts) ->
                run.addEngineEntry(
                    1300,
                    "accepted",
                    Json.object().put("requestId", "r1").put("promptDigest", "d9"))
      },
      {
        "refused as not run but started",
        8,
        (Fault)
            (run, parts) ->
                run.addEngineEntry(1300, "started", Json.object().put("requestId", "r3"))
      },
      {"ran twice", 9, (Fault) (run, parts) -> run.addServiceRun("r6", "acc", "k1")},
      {
        "ran twice without key",
        9,
        (Fault)
            (run, parts) -> {
              run.addServiceRun("r7", "acc", "");
              run.addServiceRun("r7", "acc", "");
            }
      },
      {
        "work while leaving",
        10,
        (Fault) (run, parts) -> run.addEngineEntry(4100, "received", newWork())
      },
      {
        "work while listed as leaving",
        10,
        (Fault)
            (run, parts) -> {
              addEntry(
                  run.platform,
                  "platform",
                  1000,
                  "administered",
                  Json.object().put("path", "/fake/state").put("id", "s2").put("state", "leaving"));
              addEntry(run.services, "s2", 3600, "received", Json.object().put("path", "/holds"));
            }
      },
      {
        "interrupted by shutdown",
        11,
        (Fault) (run, parts) -> run.addResult("r8", ReplayOutcome.BROKEN, null, "d8")
      },
      {
        "revision reverts",
        12,
        (Fault)
            (run, parts) -> {
              parts.observedRevision(new RunEvidence.RevisionObservation("n1", 3, 2000));
              parts.observedRevision(new RunEvidence.RevisionObservation("n1", 2, 3000));
            }
      },
      {
        "revision is active too late",
        12,
        (Fault)
            (run, parts) ->
                parts.observedRevision(new RunEvidence.RevisionObservation("n1", 2, 17_000))
      },
    };
  }

  @Test
  public void correctRunHasNoViolation() {
    assertEquals(InvariantChecker.check(evidence((run, parts) -> {})), List.of());
  }

  @Test(dataProvider = "faults")
  public void injectedFaultIsDetected(String name, int invariant, Object fault) {
    List<Violation> found = InvariantChecker.check(evidence((Fault) fault));
    Set<Integer> numbers =
        found.stream().map(violation -> violation.invariant().number()).collect(Collectors.toSet());
    assertTrue(numbers.contains(invariant), name + " found " + found);
  }

  @Test
  public void everyInvariantHasFault() {
    Set<Object> covered = new java.util.HashSet<>();
    for (Object[] fault : faults()) {
      covered.add(fault[1]);
    }
    for (Invariant invariant : Invariant.values()) {
      assertTrue(covered.contains(invariant.number()), invariant.name());
    }
  }

  /** Guards against a run that passes because it recorded nothing to check. */
  @Test
  public void countsObservationsOfCorrectRun() {
    Map<Invariant, Integer> counts = Observations.count(evidence((run, parts) -> {}));
    assertEquals(counts.get(Invariant.ONE_FIGURE_PER_USAGE_WINDOW), Integer.valueOf(2));
    assertEquals(counts.get(Invariant.CONFIGURATION_NEVER_REVERTS), Integer.valueOf(0));
    assertEquals(counts.size(), Invariant.values().length);
  }

  /** Guards against usage that is lost, or counted again with each duplicate report of a window. */
  @Test
  public void reportedUsageIsComparedWithResponses() {
    InvariantCheckerTest run = new InvariantCheckerTest();
    run.addResult("r1", ReplayOutcome.COMPLETED, null, "d1");
    List<TraceEntry> trace = List.of(TraceEntry.chat(0, "acc", "m", 7, 3, null, 0));
    var fromResponses = UsageComparison.fromResponses(trace, run.results);
    assertEquals(UsageComparison.differences(fromResponses, Map.of()).size(), 1);
    ObjectNode report = Json.object().put("windowId", "w1");
    ObjectNode figure = report.putArray("figures").addObject().put("account", "acc");
    figure.put("item", "m").put("requests", 1).put("promptTokens", 7).put("outputTokens", 3);
    addEntry(run.platform, "platform", 1, "usage", report);
    addEntry(run.platform, "platform", 2, "usage", report);
    FakeRecords records = new FakeRecords(List.of(), List.of(), run.platform);
    assertEquals(
        UsageComparison.differences(fromResponses, UsageComparison.fromReports(records)),
        List.of());
  }
}
