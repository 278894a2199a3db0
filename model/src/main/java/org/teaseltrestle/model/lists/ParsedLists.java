package org.teaseltrestle.model.lists;

import java.util.List;
import java.util.Optional;
import org.teaseltrestle.model.json.ListProblem;

/**
 * Outcome of parsing both lists.
 *
 * @param lists the lists, present only if there is no fault
 * @param problems all faults, ordered by file name, line and column
 */
public record ParsedLists(Optional<ServingLists> lists, List<ListProblem> problems) {

  /** Copies the faults. */
  public ParsedLists {
    problems = List.copyOf(problems);
  }
}
