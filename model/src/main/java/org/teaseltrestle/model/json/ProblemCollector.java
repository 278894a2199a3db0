package org.teaseltrestle.model.json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.SourceLocation;
import org.teaseltrestle.model.TrestleException;

/** Collects the errors of one or more files. Not thread-safe. */
public final class ProblemCollector {

  private final List<ValidationProblem> problems = new ArrayList<>();

  /** Adds an error. */
  public void add(SourceLocation location, String message) {
    problems.add(new ValidationProblem(location, message));
  }

  /** Returns whether no error has been added. */
  public boolean isEmpty() {
    return problems.isEmpty();
  }

  /** Returns the errors ordered by file name, line and column. */
  public List<ValidationProblem> problems() {
    return problems.stream()
        .sorted(
            Comparator.comparing((ValidationProblem p) -> p.location().file())
                .thenComparingInt(p -> p.location().line())
                .thenComparingInt(p -> p.location().column()))
        .toList();
  }

  /**
   * Throws one exception that lists all errors, if there are any.
   *
   * @throws TrestleException with the given code, located at the first error
   */
  public void throwIfAny(ErrorCode code) {
    if (problems.isEmpty()) {
      return;
    }
    List<ValidationProblem> sorted = problems();
    String rest =
        sorted.stream().skip(1).map(p -> System.lineSeparator() + p).collect(Collectors.joining());
    ValidationProblem first = sorted.get(0);
    throw new TrestleException(code, first.message() + rest, first.location(), null);
  }
}
