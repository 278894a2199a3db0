package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.teaseltrestle.testkit.fakes.RecordEntry;

/**
 * Checks that backend servers ran each change at most once and received no new work while leaving.
 */
final class ExecutionChecks {

  private static final String SET_STATE_PATH = "/fake/state";

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkAtMostOnce(evidence);
    checkNoWorkWhileLeaving(evidence);
    return violations;
  }

  private void checkAtMostOnce(RunEvidence evidence) {
    Map<String, Integer> runsByCall = new HashMap<>();
    for (RecordEntry entry : evidence.records.services()) {
      if (!entry.kind().equals("ran") || !entry.text("method").equals("POST")) {
        continue;
      }
      String key = entry.text("idempotencyKey");
      String call =
          key.isEmpty()
              ? "request " + entry.text("requestId")
              : "call " + key + " of " + entry.text("account");
      if (runsByCall.merge(call, 1, Integer::sum) == 2) {
        violations.add(
            new Violation(Invariant.CHANGES_RUN_AT_MOST_ONCE, call + " ran more than once"));
      }
    }
  }

  private void checkNoWorkWhileLeaving(RunEvidence evidence) {
    Map<String, Long> deadlineByServer = new HashMap<>();
    for (RecordEntry entry : evidence.records.platform()) {
      if (!entry.text("path").equals(SET_STATE_PATH)) {
        continue;
      }
      if (entry.text("state").equals("live")) {
        deadlineByServer.remove(entry.text("id"));
      } else {
        long listedAtMillis = entry.atMillis() + evidence.listLag.toMillis();
        deadlineByServer.put(
            entry.text("id"), listedAtMillis + evidence.leavingGracePeriod.toMillis());
      }
    }
    List<RecordEntry> entries =
        Stream.of(evidence.records.engines(), evidence.records.services())
            .flatMap(List::stream)
            .toList();
    for (RecordEntry entry : entries) {
      if (entry.kind().equals("leaving")) {
        deadlineByServer.merge(
            entry.fake(), entry.atMillis() + evidence.leavingGracePeriod.toMillis(), Math::min);
      } else if (entry.kind().equals("returned")) {
        deadlineByServer.remove(entry.fake());
      } else if (isNewWork(entry)
          && entry.atMillis() > deadlineByServer.getOrDefault(entry.fake(), Long.MAX_VALUE)) {
        violations.add(
            new Violation(
                Invariant.LEAVING_SERVERS_GET_NO_WORK,
                entry.fake() + " received " + entry.text("path") + " while it was leaving"));
      }
    }
  }

  private static boolean isNewWork(RecordEntry entry) {
    String path = entry.text("path");
    return entry.kind().equals("received")
        && !path.startsWith("/v1/cancel/")
        && !path.equals("/orders");
  }
}
