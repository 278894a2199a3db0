package org.teaseltrestle.testkit.soak;

import java.util.List;

/**
 * What a schedule of faults can hit.
 *
 * @param instances all nodes
 * @param voters the initial voters
 * @param domains the nodes of each failure domain
 * @param engines the engines
 * @param lengthMillis time in which faults begin and end, in milliseconds
 */
record SoakShape(
    List<String> instances,
    List<String> voters,
    List<List<String>> domains,
    List<String> engines,
    long lengthMillis) {

  SoakShape {
    instances = List.copyOf(instances);
    voters = List.copyOf(voters);
    domains = List.copyOf(domains);
    engines = List.copyOf(engines);
  }
}
