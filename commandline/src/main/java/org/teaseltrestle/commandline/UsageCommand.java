package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import org.teaseltrestle.model.operators.UsageAnswer;

/** Shows the usage windows that are retained. */
@Command(name = "usage", description = "Shows open, closed and the last reported usage windows")
public final class UsageCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    UsageAnswer response = client.get("/operator/usage", UsageAnswer.class);
    print(terminal, response, () -> printText(terminal, response));
    return ExitCode.DONE;
  }

  private static void printText(Terminal terminal, UsageAnswer response) {
    Table table =
        new Table("WINDOW", "STATE", "ACCOUNT", "ITEM", "PROMPT", "OUTPUT", "REQUESTS", "LATE");
    for (UsageAnswer.Window window : response.windows()) {
      for (UsageAnswer.Figure figure : window.figures()) {
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
