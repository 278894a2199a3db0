package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.teaseltrestle.testkit.fakes.RecordEntry;

/** Checks what backend servers ran: changes at most once, and nothing new while leaving. */
final class RunChecks {

  private static final String LISTED_LEAVING = "/fake/state";

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkRuns(evidence);
    checkLeaving(evidence);
    return violations;
  }

  private void checkRuns(RunEvidence evidence) {
    Map<String, Integer> runs = new HashMap<>();
    for (RecordEntry entry : evidence.records.services()) {
      if (!entry.kind().equals("ran") || !entry.text("method").equals("POST")) {
        continue;
      }
      String key = entry.text("idempotencyKey");
      String call =
          key.isEmpty()
              ? "request " + entry.text("requestId")
              : "call " + key + " of " + entry.text("account");
      if (runs.merge(call, 1, Integer::sum) == 2) {
        violations.add(
            new Violation(Invariant.CHANGES_RUN_AT_MOST_ONCE, call + " ran more than once"));
      }
    }
  }

  private void checkLeaving(RunEvidence evidence) {
    Map<String, Long> deadlines = new HashMap<>();
    for (RecordEntry entry : evidence.records.platform()) {
      if (!entry.text("path").equals(LISTED_LEAVING)) {
        continue;
      }
      if (entry.text("state").equals("live")) {
        deadlines.remove(entry.text("id"));
      } else {
        long listed = entry.atMillis() + evidence.listLag.toMillis();
        deadlines.put(entry.text("id"), listed + evidence.leavingBound.toMillis());
      }
    }
    List<RecordEntry> entries =
        Stream.of(evidence.records.engines(), evidence.records.services())
            .flatMap(List::stream)
            .toList();
    for (RecordEntry entry : entries) {
      if (entry.kind().equals("leaving")) {
        deadlines.merge(
            entry.fake(), entry.atMillis() + evidence.leavingBound.toMillis(), Math::min);
      } else if (entry.kind().equals("returned")) {
        deadlines.remove(entry.fake());
      } else if (isWork(entry)
          && entry.atMillis() > deadlines.getOrDefault(entry.fake(), Long.MAX_VALUE)) {
        violations.add(
            new Violation(
                Invariant.LEAVING_SERVERS_GET_NO_WORK,
                entry.fake() + " got " + entry.text("path") + " although it was leaving"));
      }
    }
  }

  private static boolean isWork(RecordEntry entry) {
    String path = entry.text("path");
    return entry.kind().equals("received")
        && !path.startsWith("/v1/cancel/")
        && !path.equals("/orders");
  }
}
