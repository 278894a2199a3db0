package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.PlanAnswer;

/** Shows what the list files would change. */
@Command(name = "plan", description = "Shows what the list files would change")
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
    PlanAnswer plan = fetch(client, lists);
    print(terminal, plan, () -> printText(terminal, plan));
    return plan.problems().isEmpty() ? ExitCode.DONE : ExitCode.INVALID;
  }

  static PlanAnswer fetch(OperatorClient client, ListFiles lists) {
    return client.post(
        "/operator/lists/plan",
        new ListsProposal(lists.accountsJson(), lists.plansJson()),
        PlanAnswer.class);
  }

  static void printText(Terminal terminal, PlanAnswer plan) {
    if (!plan.problems().isEmpty()) {
      // The node may be of a newer version with more checks.
      terminal.error().println(ListFiles.describe(plan.problems()));
    } else if (plan.changes().isEmpty()) {
      terminal
          .output()
          .println("Revision " + plan.baseRevision() + " is in force; nothing would change.");
    } else {
      terminal.output().println("Changes to revision " + plan.baseRevision() + ":");
      ListFiles.printChanges(terminal.output(), plan.changes());
      terminal
          .output()
          .println("Apply exactly this with: apply --base-revision " + plan.baseRevision());
    }
  }
}
