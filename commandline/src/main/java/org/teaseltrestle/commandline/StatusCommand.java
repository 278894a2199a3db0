package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;
import org.teaseltrestle.model.operators.StatusAnswer;

/** Shows the state of the system. */
@Command(name = "status", description = "Shows instances, backend servers and open orders")
public final class StatusCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    StatusAnswer status = client.get("/operator/status", StatusAnswer.class);
    print(terminal, status, () -> printText(terminal.output(), status));
    return ExitCode.DONE;
  }

  private static void printText(PrintStream output, StatusAnswer status) {
    output.println("answered by      " + status.instance() + (status.ready() ? "" : ", not ready"));
    output.println("lists revision   " + status.listsRevision());
    output.println("log index        " + status.appliedIndex());
    output.println(
        "authority        "
            + (status.authorityTerm() == 0
                ? "none"
                : status.authorityInstance() + ", term " + status.authorityTerm()));
    output.println("log index is     " + ConfirmationWait.describe(status.confirmation()));
    output.println();
    Table instances = new Table("INSTANCE", "FAILURE DOMAIN", "REGION", "VOTER");
    status
        .instances()
        .forEach(
            each ->
                instances.row(
                    each.instance(),
                    each.failureDomain(),
                    each.region(),
                    each.voter() ? "yes" : "no"));
    instances.print(output);
    output.println();
    Table servers =
        new Table(
            "BACKEND SERVER",
            "POOL",
            "FAILURE DOMAIN",
            "KIND",
            "CAPACITY",
            "STATE",
            "ROLE",
            "PLANNED");
    status
        .backendServers()
        .forEach(
            each ->
                servers.row(
                    each.id(),
                    each.pool(),
                    each.failureDomain(),
                    each.kind(),
                    each.capacity(),
                    each.state(),
                    each.role(),
                    each.plannedChange()));
    servers.print(output);
    if (!status.openOrders().isEmpty()) {
      output.println();
      Table orders = new Table("OPEN ORDER", "TO", "TEXT");
      status.openOrders().forEach(each -> orders.row(each.orderId(), each.target(), each.text()));
      orders.print(output);
    }
  }
}
