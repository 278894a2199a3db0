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
import org.teaseltrestle.testkit.replay.Outcome;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.replay.RunRecords;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against checks that cannot fail: each gets one deliberately faulty record. */
public final class InvariantCheckerTest {

  private static final String KEY = "tt_0123456789abcdef_SecretSecret";

  private final List<RecordEntry> engines = new ArrayList<>();
  private final List<RecordEntry> services = new ArrayList<>();
  private final List<RecordEntry> platform = new ArrayList<>();
  private final List<RequestResult> results = new ArrayList<>();

  /** A fault that is put into an otherwise correct run. */
  private interface Fault {
    void into(InvariantCheckerTest run, RunEvidence.Builder evidence);
  }

  private static RunEvidence evidence(Fault fault) {
    InvariantCheckerTest run = new InvariantCheckerTest();
    run.correct();
    RunEvidence.Builder outside = RunEvidence.of(new RunRecords(List.of(), List.of(), List.of()));
    fault.into(run, outside);
    RunEvidence.Builder evidence =
        RunEvidence.of(new RunRecords(run.engines, run.services, run.platform));
    evidence.results(run.results).faults(RunEvidence.Faults.PLANNED_ONLY).keys(List.of(KEY));
    evidence.gracefulStop("stopped:1", 5000).accepted(3, 1000).log("n1", "E1004 started");
    RunEvidence extra = outside.build();
    extra.seen.forEach(evidence::seen);
    extra.withdrawals.forEach(evidence::withdrawal);
    extra.logs.forEach(evidence::log);
    return evidence.build();
  }

  private static void add(
      List<RecordEntry> list, String fake, long at, String kind, ObjectNode details) {
    list.add(new RecordEntry(list.size() + 1L, at, fake, kind, details));
  }

  private void engine(long at, String kind, ObjectNode details) {
    add(engines, "e1", at, kind, details);
  }

  private void ran(String requestId, String account, String key) {
    ObjectNode details = Json.object().put("requestId", requestId).put("account", account);
    details.put("idempotencyKey", key).put("method", "POST").put("path", "/holds");
    add(services, "s1", 1000, "ran", details);
  }

  private static ObjectNode order(String id, long fencing, String role, String effect) {
    ObjectNode order = Json.object().put("orderId", id).put("fencingNumber", fencing);
    return order.put("kind", "set_role").put("role", role).put("effect", effect);
  }

  private static ObjectNode sent(String instance, long term) {
    return Json.object().put("instance", instance).put("authority", Long.toString(term << 24));
  }

  private static ObjectNode placed(String instance, String id, long term) {
    return Json.object()
        .put("instance", instance)
        .put("orderId", id)
        .put("fencingNumber", term << 24);
  }

  private static ObjectNode usage(String instance, long term, int requests) {
    ObjectNode usage = sent(instance, term).put("windowId", "w1");
    usage.putArray("figures").addObject().put("requests", requests);
    return usage;
  }

  private static ObjectNode work() {
    return Json.object().put("path", "/v1/completions");
  }

  private void result(String id, Outcome outcome, @Nullable String notRun, String digest) {
    result(id, "stopped:1", outcome, notRun, digest);
  }

  private void result(
      String id, String entry, Outcome outcome, @Nullable String notRun, String digest) {
    int index = results.size();
    results.add(
        new RequestResult(
            index, "acc", entry, id, outcome, 200, null, notRun, null, digest, null, 2000, 2100, 5,
            5, 3));
  }

  private void correct() {
    engine(1000, "accepted", Json.object().put("requestId", "r1").put("promptDigest", "d1"));
    engine(1001, "started", Json.object().put("requestId", "r1"));
    engine(1100, "order", order("o1", 1, "decode", "applied"));
    engine(1101, "order", order("o1", 1, "decode", "repeated"));
    engine(1200, "order", order("o0", 0, "mixed", "refused_stale"));
    engine(1900, "received", work());
    engine(2000, "leaving", Json.object());
    engine(3000, "received", work());
    ran("r2", "acc", "k1");
    add(platform, "platform", 1000, "order", sent("n1", 1).put("orderId", "p1").put("count", 1));
    add(platform, "platform", 2000, "order", sent("n2", 2).put("orderId", "p1").put("count", 1));
    add(platform, "platform", 2000, "order", placed("n2", "p0", 1));
    add(platform, "platform", 2000, "usage", usage("n1", 1, 4));
    add(platform, "platform", 2001, "usage", usage("n2", 2, 4));
    result("r1", Outcome.COMPLETED, null, "d1");
    result("r2", Outcome.COMPLETED, null, "body");
    result("r3", Outcome.REFUSED, "true", "d3");
  }

  @DataProvider(name = "faults")
  static Object[][] faults() {
    return new Object[][] {
      {
        "same fencing number",
        1,
        (Fault) (run, out) -> run.engine(1300, "order", order("o2", 1, "mixed", "applied"))
      },
      {
        "two contents",
        1,
        (Fault) (run, out) -> run.engine(1300, "order", order("o1", 1, "mixed", "repeated"))
      },
      {
        "second change",
        1,
        (Fault) (run, out) -> run.engine(1300, "order", order("o3", 3, "mixed", "refused_busy"))
      },
      {
        "broken by a change",
        2,
        (Fault) (run, out) -> run.result("r4", "other:1", Outcome.BROKEN, null, "d4")
      },
      {
        "stale order applied",
        3,
        (Fault) (run, out) -> run.engine(1300, "order", order("o0", 0, "mixed", "applied"))
      },
      {"other account", 4, (Fault) (run, out) -> run.ran("r1", "other", "k2")},
      {
        "key at a server",
        4,
        (Fault) (run, out) -> run.engine(1300, "received", work().put("query", "x=" + KEY))
      },
      {"key in a log", 4, (Fault) (run, out) -> out.log("n2", "caller sent " + KEY)},
      {
        "withdrawn key",
        4,
        (Fault) (run, out) -> out.withdrawal(new RunEvidence.Withdrawal("acc", 1500))
      },
      {
        "old leader sends",
        5,
        (Fault)
            (run, out) ->
                add(run.platform, "platform", 2100, "order", sent("n1", 1).put("orderId", "p2"))
      },
      {
        "old leader sends its own order",
        5,
        (Fault) (run, out) -> add(run.platform, "platform", 2100, "order", placed("n1", "p4", 1))
      },
      {
        "two senders of a term",
        5,
        (Fault)
            (run, out) ->
                add(run.platform, "platform", 2100, "order", sent("n3", 2).put("orderId", "p3"))
      },
      {
        "order changed",
        5,
        (Fault)
            (run, out) ->
                add(
                    run.platform,
                    "platform",
                    2100,
                    "order",
                    sent("n2", 2).put("orderId", "p1").put("count", 2))
      },
      {
        "different figures",
        6,
        (Fault) (run, out) -> add(run.platform, "platform", 2100, "usage", usage("n2", 2, 5))
      },
      {
        "old reporter",
        6,
        (Fault) (run, out) -> add(run.platform, "platform", 2100, "usage", usage("n1", 1, 4))
      },
      {"wrong answer", 7, (Fault) (run, out) -> run.result("r5", Outcome.WRONG, null, "d5")},
      {"other's answer", 7, (Fault) (run, out) -> run.result("r1", Outcome.COMPLETED, null, "d1")},
      {
        "other's prompt",
        7,
        (Fault)
            (run, out) ->
                run.engine(
                    1300,
                    "accepted",
                    Json.object().put("requestId", "r1").put("promptDigest", "d9"))
      },
      {
        "not run but run",
        8,
        (Fault) (run, out) -> run.engine(1300, "started", Json.object().put("requestId", "r3"))
      },
      {"ran twice", 9, (Fault) (run, out) -> run.ran("r6", "acc", "k1")},
      {
        "ran twice without key",
        9,
        (Fault)
            (run, out) -> {
              run.ran("r7", "acc", "");
              run.ran("r7", "acc", "");
            }
      },
      {"work while leaving", 10, (Fault) (run, out) -> run.engine(4100, "received", work())},
      {
        "work while listed as leaving",
        10,
        (Fault)
            (run, out) -> {
              add(
                  run.platform,
                  "platform",
                  1000,
                  "administered",
                  Json.object().put("path", "/fake/state").put("id", "s2").put("state", "leaving"));
              add(run.services, "s2", 3600, "received", Json.object().put("path", "/holds"));
            }
      },
      {"cut by shutdown", 11, (Fault) (run, out) -> run.result("r8", Outcome.BROKEN, null, "d8")},
      {
        "went back",
        12,
        (Fault)
            (run, out) -> {
              out.seen(new RunEvidence.RevisionSeen("n1", 3, 2000));
              out.seen(new RunEvidence.RevisionSeen("n1", 2, 3000));
            }
      },
      {
        "too late",
        12,
        (Fault) (run, out) -> out.seen(new RunEvidence.RevisionSeen("n1", 2, 17_000))
      },
    };
  }

  @Test
  public void correctRunHasNoViolation() {
    assertEquals(InvariantChecker.check(evidence((run, out) -> {})), List.of());
  }

  @Test(dataProvider = "faults")
  public void faultIsFound(String name, int invariant, Object fault) {
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

  /** Guards against a run that passes because nothing was seen. */
  @Test
  public void observationsOfCorrectRunAreCounted() {
    Map<Invariant, Integer> counts = Observations.count(evidence((run, out) -> {}));
    assertEquals(counts.get(Invariant.ONE_FIGURE_PER_USAGE_WINDOW), Integer.valueOf(2));
    assertEquals(counts.get(Invariant.CONFIGURATION_NEVER_REVERTS), Integer.valueOf(0));
    assertEquals(counts.size(), Invariant.values().length);
  }

  /** Guards against usage that is lost or counted with each resend of a window. */
  @Test
  public void usageIsComparedWithAnswers() {
    InvariantCheckerTest run = new InvariantCheckerTest();
    run.result("r1", Outcome.COMPLETED, null, "d1");
    List<TraceEntry> trace = List.of(TraceEntry.chat(0, "acc", "m", 7, 3, null, 0));
    var answered = UsageComparison.answered(trace, run.results);
    assertEquals(UsageComparison.differences(answered, Map.of()).size(), 1);
    ObjectNode report = Json.object().put("windowId", "w1");
    ObjectNode figure = report.putArray("figures").addObject().put("account", "acc");
    figure.put("item", "m").put("requests", 1).put("promptTokens", 7).put("outputTokens", 3);
    add(run.platform, "platform", 1, "usage", report);
    add(run.platform, "platform", 2, "usage", report);
    RunRecords records = new RunRecords(List.of(), List.of(), run.platform);
    assertEquals(
        UsageComparison.differences(answered, UsageComparison.reported(records)), List.of());
  }
}
