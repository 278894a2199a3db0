package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.List;

/** Checks every invariant of design section 2 on the evidence of a run. */
public final class InvariantChecker {

  private InvariantChecker() {}

  /** Returns all breaches that the evidence shows. */
  public static List<Violation> check(RunEvidence evidence) {
    List<Violation> violations = new ArrayList<>();
    violations.addAll(new OrderChecks().check(evidence));
    violations.addAll(new AnswerChecks().check(evidence));
    violations.addAll(new AccountChecks().check(evidence));
    violations.addAll(new RunChecks().check(evidence));
    violations.addAll(new ConfigurationChecks().check(evidence));
    return violations;
  }
}
