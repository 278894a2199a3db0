package org.teaseltrestle.testkit.soak;

import java.util.List;
import java.util.Map;

/**
 * Result of one seed, which is also written as JSON to {@code result.json}.
 *
 * @param seed seed
 * @param steps number of scheduled faults
 * @param outcomes number of requests by outcome and refusal code
 * @param observations observations on which each invariant was checked, as {@code number:count}
 * @param requestsAtStop requests sent for the graceful stop of a node after the faults
 * @param problems violated invariants and conditions that were not met in time, empty if there are
 *     none
 */
public record SoakResult(
    long seed,
    int steps,
    Map<String, Integer> outcomes,
    String observations,
    int requestsAtStop,
    List<String> problems) {

  /** Copies the collections. */
  public SoakResult {
    outcomes = Map.copyOf(outcomes);
    problems = List.copyOf(problems);
  }
}
