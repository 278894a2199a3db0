package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that an accepted configuration becomes active on every instance and never reverts. */
final class ConfigurationChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    Map<String, Long> latestByInstance = new HashMap<>();
    List<RunEvidence.RevisionObservation> byTime =
        evidence.observedRevisions.stream()
            .sorted(Comparator.comparingLong(RunEvidence.RevisionObservation::atMillis))
            .toList();
    for (RunEvidence.RevisionObservation observed : byTime) {
      long previous = latestByInstance.getOrDefault(observed.instance(), Long.MIN_VALUE);
      if (observed.revision() < previous) {
        addViolation(observed, "reverted from revision " + previous + " to " + observed.revision());
      }
      latestByInstance.merge(observed.instance(), observed.revision(), Math::max);
      for (RunEvidence.RevisionObservation accepted : evidence.acceptedRevisions) {
        long deadline = accepted.atMillis() + evidence.activationTimeout.toMillis();
        if (observed.atMillis() > deadline && observed.revision() < accepted.revision()) {
          addViolation(observed, "has not activated revision " + accepted.revision() + " in time");
        }
      }
    }
    return violations;
  }

  private void addViolation(RunEvidence.RevisionObservation observed, String text) {
    violations.add(
        new Violation(Invariant.CONFIGURATION_NEVER_REVERTS, observed.instance() + " " + text));
  }
}
