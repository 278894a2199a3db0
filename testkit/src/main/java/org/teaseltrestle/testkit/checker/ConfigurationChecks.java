package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that an accepted configuration comes into force everywhere and never reverts. */
final class ConfigurationChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    Map<String, Long> newest = new HashMap<>();
    List<RunEvidence.RevisionSeen> inOrder =
        evidence.seen.stream()
            .sorted(Comparator.comparingLong(RunEvidence.RevisionSeen::atMillis))
            .toList();
    for (RunEvidence.RevisionSeen seen : inOrder) {
      long before = newest.getOrDefault(seen.instance(), Long.MIN_VALUE);
      if (seen.revision() < before) {
        add(seen, "went back from revision " + before + " to " + seen.revision());
      }
      newest.merge(seen.instance(), seen.revision(), Math::max);
      for (RunEvidence.RevisionSeen accepted : evidence.accepted) {
        long deadline = accepted.atMillis() + evidence.configurationBound.toMillis();
        if (seen.atMillis() > deadline && seen.revision() < accepted.revision()) {
          add(seen, "has not put revision " + accepted.revision() + " into force in time");
        }
      }
    }
    return violations;
  }

  private void add(RunEvidence.RevisionSeen seen, String text) {
    violations.add(
        new Violation(Invariant.CONFIGURATION_NEVER_REVERTS, seen.instance() + " " + text));
  }
}
