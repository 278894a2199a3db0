package org.teaseltrestle.testkit.soak;

import java.util.List;
import java.util.Map;

/**
 * What one seed showed.
 *
 * @param seed seed
 * @param steps faults that were injected
 * @param outcomes number of requests by how they ended
 * @param observations what each invariant was judged on, as {@code number:count}
 * @param requestsAtStop requests that ran or came while a node stopped after the faults
 * @param problems broken promises and conditions that did not hold in time, empty if there are none
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
