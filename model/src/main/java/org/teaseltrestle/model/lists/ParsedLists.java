package org.teaseltrestle.model.lists;

import java.util.List;
import java.util.Optional;
import org.teaseltrestle.model.json.ValidationProblem;

/**
 * Result of parsing both lists.
 *
 * @param lists the lists, present only if there are no errors
 * @param problems all errors, ordered by file name, line and column
 */
public record ParsedLists(Optional<ServingLists> lists, List<ValidationProblem> problems) {

  /** Copies the errors. */
  public ParsedLists {
    problems = List.copyOf(problems);
  }
}
