package org.teaseltrestle.model.operators;

import java.util.List;
import org.teaseltrestle.model.json.ValidationProblem;
import org.teaseltrestle.model.lists.ListsDifference;

/**
 * Changes that proposed lists would make.
 *
 * @param baseRevision revision that the lists were compared with
 * @param problems errors of the proposed lists; if there are any, changes is empty
 * @param changes differences, in the order account, plan, model, service
 */
public record PlanResponse(
    long baseRevision, List<ValidationProblem> problems, List<ListsDifference.Change> changes) {

  /** Copies the lists. */
  public PlanResponse {
    problems = List.copyOf(problems);
    changes = List.copyOf(changes);
  }
}
