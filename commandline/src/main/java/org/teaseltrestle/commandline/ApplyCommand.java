package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.ListsChange;
import org.teaseltrestle.model.operators.ListsResponse;

/** Replaces the active lists with the list files. */
@Command(name = "apply", description = "Replaces the active lists with the list files")
public final class ApplyCommand extends NodeCommand {

  private static final long ACTIVE_REVISION = -1;

  @NoOptionLikeValues
  @Arguments(
      title = {"accounts.json", "plans.json"},
      description = "list files")
  private List<String> files = new ArrayList<>();

  @Option(
      name = {"--base-revision"},
      title = "number",
      description = "revision that the change replaces; default is the active one")
  private long baseRevision = ACTIVE_REVISION;

  @Option(
      name = {"--wait"},
      description = "wait until the lists are in effect in all instances")
  private boolean wait;

  @Option(
      name = {"--wait-seconds"},
      title = "seconds",
      description = "longest wait; default 15")
  private long waitSeconds = 15;

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; default is derived from the base revision and the files")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    ListFiles lists = ListFiles.read(files);
    lists.check();
    long base = baseRevision;
    if (base == ACTIVE_REVISION) {
      ListsResponse current = client.get("/operator/lists", ListsResponse.class);
      base = current.revision();
      if (requestId.isEmpty()
          && current.accountsJson().equals(lists.accountsJson())
          && current.plansJson().equals(lists.plansJson())) {
        // An earlier run may have made this change and lost the response.
        return reportAccepted(terminal, client, alreadyActive(current));
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
    ChangeResponse response =
        sendChange(client, "/operator/lists", change, ChangeResponse.class, id);
    if (response.status() == ChangeResponse.Status.ACCEPTED) {
      return reportAccepted(terminal, client, response);
    }
    print(terminal, response, () -> {});
    terminal.error().println("teaseltrestle: " + response.message());
    if (response.status() == ChangeResponse.Status.CONFLICT) {
      terminal.error().println("Show the difference to the active revision with: plan");
    }
    return ExitCode.of(response.status());
  }

  private static ChangeResponse alreadyActive(ListsResponse current) {
    return new ChangeResponse(
        ChangeResponse.Status.ACCEPTED,
        "the lists are already active",
        "lists",
        current.appliedIndex(),
        current.revision(),
        Confirmation.UNKNOWN);
  }

  private ExitCode reportAccepted(
      Terminal terminal, OperatorClient client, ChangeResponse response) {
    ChangeResponse latest =
        wait
            ? ConfirmationWait.await(
                client, response, System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds))
            : response;
    print(
        terminal,
        latest,
        () ->
            terminal
                .output()
                .println(
                    "Revision "
                        + latest.listsRevision()
                        + (latest.message().isEmpty() ? " accepted" : ": " + latest.message())
                        + "; "
                        + ConfirmationWait.describe(latest.confirmation())));
    return wait ? ConfirmationWait.exitCode(latest.confirmation()) : ExitCode.DONE;
  }
}
