package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;
import org.teaseltrestle.model.operators.StatusResponse;

/** Shows the state of the system. */
@Command(name = "status", description = "Shows instances, backend servers and open orders")
public final class StatusCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    StatusResponse status = client.get("/operator/status", StatusResponse.class);
    print(terminal, status, () -> printText(terminal.output(), status));
    return ExitCode.DONE;
  }

  private static void printText(PrintStream output, StatusResponse status) {
    output.println("responding node  " + status.instance() + (status.ready() ? "" : ", not ready"));
    output.println("lists revision   " + status.listsRevision());
    output.println("log index        " + status.appliedIndex());
    output.println(
        "authority        "
            + (status.authorityTerm() == 0
                ? "none"
                : status.authorityInstance() + ", term " + status.authorityTerm()));
    output.println("confirmation     " + ConfirmationWait.describe(status.confirmation()));
    output.println();
    Table instances = new Table("INSTANCE", "FAILURE DOMAIN", "REGION", "VOTER");
    status
        .instances()
        .forEach(
            instance ->
                instances.row(
                    instance.instance(),
                    instance.failureDomain(),
                    instance.region(),
                    instance.voter() ? "yes" : "no"));
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
            server ->
                servers.row(
                    server.id(),
                    server.pool(),
                    server.failureDomain(),
                    server.kind(),
                    server.capacity(),
                    server.state(),
                    server.role(),
                    server.plannedChange()));
    servers.print(output);
    if (!status.openOrders().isEmpty()) {
      output.println();
      Table orders = new Table("OPEN ORDER", "TO", "TEXT");
      status
          .openOrders()
          .forEach(order -> orders.row(order.orderId(), order.target(), order.text()));
      orders.print(output);
    }
  }
}
