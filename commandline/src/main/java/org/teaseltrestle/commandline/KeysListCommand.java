package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.time.Instant;
import org.teaseltrestle.model.operators.KeysAnswer;

/** Lists the keys without their secrets. */
@Command(name = "list", description = "Lists the keys without their secrets")
public final class KeysListCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    KeysAnswer answer = client.get("/operator/keys", KeysAnswer.class);
    print(terminal, answer, () -> printText(terminal, answer));
    return ExitCode.DONE;
  }

  private static void printText(Terminal terminal, KeysAnswer answer) {
    Table table = new Table("KEY ID", "ACCOUNT", "LABEL", "ISSUED", "WITHDRAWN");
    for (KeysAnswer.Entry key : answer.keys()) {
      table.row(
          key.keyId(),
          key.account(),
          key.label(),
          Instant.ofEpochMilli(key.issuedAtMillis()),
          key.withdrawnAtMillis() == 0 ? "" : Instant.ofEpochMilli(key.withdrawnAtMillis()));
    }
    table.print(terminal.output());
  }
}
