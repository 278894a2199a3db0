package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.RequestResult;

/** Checks the responses and refusals that callers received. */
final class ResponseChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkCorrectAndUnique(evidence);
    checkPromptDigests(evidence);
    checkNotRun(evidence);
    checkInterruptions(evidence);
    return violations;
  }

  private void checkCorrectAndUnique(RunEvidence evidence) {
    Map<String, Integer> indexByRequestId = new HashMap<>();
    for (RequestResult result : evidence.results) {
      if (result.outcome() == ReplayOutcome.WRONG) {
        addViolation(
            Invariant.ANSWERS_WHOLE_AND_OWN, result, "wrong response: " + result.problem());
      }
      // Requests with one idempotency key may all receive the response of the first.
      boolean hasIdempotencyKey = result.idempotencyKey() != null;
      if (result.requestId().isEmpty() || hasIdempotencyKey) {
        continue;
      }
      Integer previousIndex = indexByRequestId.putIfAbsent(result.requestId(), result.index());
      if (previousIndex != null) {
        addViolation(
            Invariant.ANSWERS_WHOLE_AND_OWN,
            result,
            "has the same request ID as request " + previousIndex);
      }
    }
  }

  /** Compares the prompt that the engine received with the prompt that the caller sent. */
  private void checkPromptDigests(RunEvidence evidence) {
    Map<String, String> digestByRequestId = new HashMap<>();
    for (RecordEntry entry : evidence.records.engines()) {
      if (entry.kind().equals("accepted")) {
        String digest = entry.text("promptDigest");
        String previousDigest = digestByRequestId.putIfAbsent(entry.text("requestId"), digest);
        if (previousDigest != null && !previousDigest.equals(digest)) {
          violations.add(
              new Violation(
                  Invariant.ANSWERS_WHOLE_AND_OWN,
                  "request "
                      + entry.text("requestId")
                      + " reached engines with two different prompts"));
        }
      }
    }
    for (RequestResult result : evidence.results) {
      String digest = digestByRequestId.get(result.requestId());
      if (result.outcome() == ReplayOutcome.COMPLETED
          && digest != null
          && !digest.equals(result.promptDigest())) {
        addViolation(
            Invariant.ANSWERS_WHOLE_AND_OWN, result, "received the response to another prompt");
      }
    }
  }

  private void checkNotRun(RunEvidence evidence) {
    Set<String> started = evidence.records.startedRequests();
    for (RequestResult result : evidence.results) {
      if ("true".equals(result.notRun()) && started.contains(result.requestId())) {
        addViolation(
            Invariant.NOT_RUN_IS_TRUE, result, "was refused as not run but had been started");
      }
    }
  }

  private void checkInterruptions(RunEvidence evidence) {
    for (RequestResult result : evidence.results) {
      boolean interrupted =
          result.outcome() == ReplayOutcome.BROKEN
              || (result.outcome() == ReplayOutcome.REFUSED && !"true".equals(result.notRun()));
      if (!interrupted
          || (result.outcome() == ReplayOutcome.BROKEN
              && result.status() == 0
              && connectionRefused(result))) {
        continue;
      }
      if (evidence.faults == RunEvidence.Faults.PLANNED_ONLY) {
        addViolation(
            Invariant.PLANNED_CHANGE_CUTS_NOTHING, result, "was interrupted: " + result.problem());
      }
      Long stoppedAt = evidence.gracefulStops.get(result.entry());
      if (stoppedAt != null && result.startMillis() <= stoppedAt) {
        addViolation(
            Invariant.SHUTDOWN_CUTS_NOTHING, result, "was interrupted by its instance's shutdown");
      }
    }
  }

  /** Returns whether the connection was refused, so that no request was interrupted. */
  private static boolean connectionRefused(RequestResult result) {
    return result.problem() != null && result.problem().contains("ConnectException");
  }

  private void addViolation(Invariant invariant, RequestResult result, String text) {
    violations.add(
        new Violation(
            invariant, "request " + result.index() + " " + result.requestId() + " " + text));
  }
}
