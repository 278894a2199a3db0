package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.ValidationProblem;
import org.teaseltrestle.model.operators.OperatorJson;

/** Validates the list files locally, without calling a node. */
@Command(name = "validate", description = "Validates both list files without calling a node")
public final class ValidateCommand implements CommandAction {

  @NoOptionLikeValues
  @Arguments(
      title = {"accounts.json", "plans.json"},
      description = "list files")
  private List<String> files = new ArrayList<>();

  @Option(
      name = {"--json"},
      description = "print the errors as one JSON document")
  private boolean json;

  @Override
  public ExitCode run(Terminal terminal) {
    List<ValidationProblem> problems;
    try {
      problems = ListFiles.read(files).parse().problems();
    } catch (TrestleException e) {
      terminal.error().println("teaseltrestle: " + e.getMessage());
      return ExitCode.of(e.code());
    }
    if (json) {
      terminal.output().println(OperatorJson.write(problems));
    } else if (problems.isEmpty()) {
      terminal.output().println("The lists are valid.");
    } else {
      terminal.error().println(ListFiles.describe(problems));
    }
    return problems.isEmpty() ? ExitCode.DONE : ExitCode.INVALID;
  }
}
