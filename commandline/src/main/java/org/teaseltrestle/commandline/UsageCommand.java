package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.teaseltrestle.model.operators.UsageResponse;

/** Shows the usage windows that are retained. */
@Command(name = "usage", description = "Shows open, closed and the last reported usage windows")
public final class UsageCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    UsageResponse response = client.get("/operator/usage", UsageResponse.class);
    print(terminal, response, () -> printText(terminal, response));
    return ExitCode.DONE;
  }

  private static void printText(Terminal terminal, UsageResponse response) {
    Table table =
        new Table("WINDOW", "STATE", "ACCOUNT", "ITEM", "PROMPT", "OUTPUT", "REQUESTS", "LATE");
    for (UsageResponse.Window window : response.windows()) {
      for (UsageResponse.Figure figure : window.figures()) {
        table.row(
            window.window(),
            window.state(),
            figure.account(),
            figure.item(),
            figure.promptTokens(),
            figure.outputTokens(),
            figure.requests(),
            figure.lateRequests());
      }
    }
    table.print(terminal.output());
  }
}
