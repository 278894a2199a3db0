package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.Outcome;
import org.teaseltrestle.testkit.replay.RequestResult;

/** Checks what callers got. */
final class AnswerChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkWhole(evidence);
    checkOwnPrompt(evidence);
    checkNotRun(evidence);
    checkCuts(evidence);
    return violations;
  }

  private void checkWhole(RunEvidence evidence) {
    Map<String, Integer> indexByRequest = new HashMap<>();
    for (RequestResult result : evidence.results) {
      if (result.outcome() == Outcome.WRONG) {
        add(Invariant.ANSWERS_WHOLE_AND_OWN, result, "wrong answer: " + result.problem());
      }
      // Repeats of one idempotency key may rightly show the first request's answer.
      boolean repeatable = result.idempotencyKey() != null;
      if (result.requestId().isEmpty() || repeatable) {
        continue;
      }
      Integer other = indexByRequest.putIfAbsent(result.requestId(), result.index());
      if (other != null) {
        add(Invariant.ANSWERS_WHOLE_AND_OWN, result, "has the same request id as request " + other);
      }
    }
  }

  /** The engine that wrote the answer must have had this caller's prompt. */
  private void checkOwnPrompt(RunEvidence evidence) {
    Map<String, String> digestByRequest = new HashMap<>();
    for (RecordEntry entry : evidence.records.engines()) {
      if (entry.kind().equals("accepted")) {
        String digest = entry.text("promptDigest");
        String other = digestByRequest.putIfAbsent(entry.text("requestId"), digest);
        if (other != null && !other.equals(digest)) {
          violations.add(
              new Violation(
                  Invariant.ANSWERS_WHOLE_AND_OWN,
                  "request " + entry.text("requestId") + " reached engines with two prompts"));
        }
      }
    }
    for (RequestResult result : evidence.results) {
      String digest = digestByRequest.get(result.requestId());
      if (result.outcome() == Outcome.COMPLETED
          && digest != null
          && !digest.equals(result.promptDigest())) {
        add(Invariant.ANSWERS_WHOLE_AND_OWN, result, "got the answer to another prompt");
      }
    }
  }

  private void checkNotRun(RunEvidence evidence) {
    Set<String> started = evidence.records.startedRequests();
    for (RequestResult result : evidence.results) {
      if ("true".equals(result.notRun()) && started.contains(result.requestId())) {
        add(Invariant.NOT_RUN_IS_TRUE, result, "was refused as not run but was started");
      }
    }
  }

  private void checkCuts(RunEvidence evidence) {
    for (RequestResult result : evidence.results) {
      boolean cut =
          result.outcome() == Outcome.BROKEN
              || (result.outcome() == Outcome.REFUSED && !"true".equals(result.notRun()));
      if (!cut || (result.outcome() == Outcome.BROKEN && result.status() == 0 && refused(result))) {
        continue;
      }
      if (evidence.faults == RunEvidence.Faults.PLANNED_ONLY) {
        add(Invariant.PLANNED_CHANGE_CUTS_NOTHING, result, "was cut: " + result.problem());
      }
      Long stoppedAt = evidence.gracefulStops.get(result.entry());
      if (stoppedAt != null && result.startMillis() <= stoppedAt) {
        add(Invariant.SHUTDOWN_CUTS_NOTHING, result, "was cut by its instance's shutdown");
      }
    }
  }

  /** A connection that was never accepted cuts no request. */
  private static boolean refused(RequestResult result) {
    return result.problem() != null && result.problem().contains("ConnectException");
  }

  private void add(Invariant invariant, RequestResult result, String text) {
    violations.add(
        new Violation(
            invariant, "request " + result.index() + " " + result.requestId() + " " + text));
  }
}
