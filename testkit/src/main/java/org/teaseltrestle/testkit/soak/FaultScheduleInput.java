package org.teaseltrestle.testkit.soak;

import java.util.List;

/**
 * Possible targets and length of a schedule of faults.
 *
 * @param instances instance IDs of all nodes
 * @param voters instance IDs of the initial voters
 * @param domains instance IDs of the nodes of each failure domain
 * @param engines IDs of the engines
 * @param lengthMillis time in which all faults start and end, in milliseconds
 */
record FaultScheduleInput(
    List<String> instances,
    List<String> voters,
    List<List<String>> domains,
    List<String> engines,
    long lengthMillis) {

  FaultScheduleInput {
    instances = List.copyOf(instances);
    voters = List.copyOf(voters);
    domains = List.copyOf(domains);
    engines = List.copyOf(engines);
  }
}
