package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.List;

/** Checks every invariant of design section 2 against the evidence of a run. */
public final class InvariantChecker {

  private InvariantChecker() {}

  /** Returns all violations that the evidence shows, empty if there are none. */
  public static List<Violation> check(RunEvidence evidence) {
    List<Violation> violations = new ArrayList<>();
    violations.addAll(new OrderChecks().check(evidence));
    violations.addAll(new ResponseChecks().check(evidence));
    violations.addAll(new AccountChecks().check(evidence));
    violations.addAll(new ExecutionChecks().check(evidence));
    violations.addAll(new ConfigurationChecks().check(evidence));
    return violations;
  }
}
