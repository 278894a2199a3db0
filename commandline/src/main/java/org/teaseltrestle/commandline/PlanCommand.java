package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.PlanResponse;

/** Shows the changes that the list files would make to the active lists. */
@Command(
    name = "plan",
    description = "Shows the changes that the list files would make to the active lists")
public final class PlanCommand extends NodeCommand {

  @NoOptionLikeValues
  @Arguments(
      title = {"accounts.json", "plans.json"},
      description = "list files")
  private List<String> files = new ArrayList<>();

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    ListFiles lists = ListFiles.read(files);
    lists.check();
    PlanResponse plan = fetch(client, lists);
    print(terminal, plan, () -> printText(terminal, plan));
    return plan.problems().isEmpty() ? ExitCode.DONE : ExitCode.INVALID;
  }

  static PlanResponse fetch(OperatorClient client, ListFiles lists) {
    return client.post(
        "/operator/lists/plan",
        new ListsProposal(lists.accountsJson(), lists.plansJson()),
        PlanResponse.class);
  }

  static void printText(Terminal terminal, PlanResponse plan) {
    if (!plan.problems().isEmpty()) {
      // The node may run a newer version, which rejects what this version accepts.
      terminal.error().println(ListFiles.describe(plan.problems()));
    } else if (plan.changes().isEmpty()) {
      terminal
          .output()
          .println("Revision " + plan.baseRevision() + " is active; nothing would change.");
    } else {
      terminal.output().println("Changes to revision " + plan.baseRevision() + ":");
      ListFiles.printChanges(terminal.output(), plan.changes());
      terminal
          .output()
          .println(
              "Apply exactly these changes with: apply --base-revision " + plan.baseRevision());
    }
  }
}
