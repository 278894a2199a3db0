package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.ListsAnswer;
import org.teaseltrestle.model.operators.ListsChange;

/** Replaces the lists in force by the list files. */
@Command(name = "apply", description = "Replaces the lists in force by the list files")
public final class ApplyCommand extends NodeCommand {

  private static final long REVISION_IN_FORCE = -1;

  @NoOptionLikeValues
  @Arguments(
      title = {"accounts.json", "plans.json"},
      description = "list files")
  private List<String> files = new ArrayList<>();

  @Option(
      name = {"--base-revision"},
      title = "number",
      description = "revision that the change replaces; default is the one now in force")
  private long baseRevision = REVISION_IN_FORCE;

  @Option(
      name = {"--wait"},
      description = "wait until the lists are in force in every instance")
  private boolean wait;

  @Option(
      name = {"--wait-seconds"},
      title = "seconds",
      description = "longest wait; default 15")
  private long waitSeconds = 15;

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; by default derived from the base revision and the files")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    ListFiles lists = ListFiles.read(files);
    lists.check();
    long base = baseRevision;
    if (base == REVISION_IN_FORCE) {
      ListsAnswer current = client.get("/operator/lists", ListsAnswer.class);
      base = current.revision();
      if (requestId.isEmpty()
          && current.accountsJson().equals(lists.accountsJson())
          && current.plansJson().equals(lists.plansJson())) {
        // The answer to an earlier run may have been lost; its change stands.
        return finish(terminal, client, unchanged(current));
      }
    }
    String id = requestId.isEmpty() ? lists.requestId(base) : requestId;
    ListsChange change =
        new ListsChange(
            id,
            base,
            lists.accountsJson(),
            lists.plansJson(),
            terminal.environment().getOrDefault("USER", ""));
    ChangeAnswer answer = sendChange(client, "/operator/lists", change, ChangeAnswer.class, id);
    if (answer.status() == ChangeAnswer.Status.ACCEPTED) {
      return finish(terminal, client, answer);
    }
    print(terminal, answer, () -> {});
    terminal.error().println("teaseltrestle: " + answer.message());
    if (answer.status() == ChangeAnswer.Status.CONFLICT) {
      terminal.error().println("Compare with the revision in force by: plan");
    }
    return ExitCode.of(answer.status());
  }

  private static ChangeAnswer unchanged(ListsAnswer current) {
    return new ChangeAnswer(
        ChangeAnswer.Status.ACCEPTED,
        "the lists are already in force",
        "lists",
        current.appliedIndex(),
        current.revision(),
        Confirmation.UNKNOWN);
  }

  private ExitCode finish(Terminal terminal, OperatorClient client, ChangeAnswer answer) {
    ChangeAnswer newest =
        wait
            ? ConfirmationWait.await(
                client, answer, System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds))
            : answer;
    print(
        terminal,
        newest,
        () ->
            terminal
                .output()
                .println(
                    "Revision "
                        + newest.listsRevision()
                        + (newest.message().isEmpty() ? " accepted" : ": " + newest.message())
                        + "; "
                        + ConfirmationWait.describe(newest.confirmation())));
    return wait ? ConfirmationWait.exitCode(newest.confirmation()) : ExitCode.DONE;
  }
}
