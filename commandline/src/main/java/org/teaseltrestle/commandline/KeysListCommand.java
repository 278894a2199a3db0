package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import java.time.Instant;
import org.teaseltrestle.model.operators.KeysResponse;

/** Lists the keys without their secrets. */
@Command(name = "list", description = "Lists the keys without their secrets")
public final class KeysListCommand extends NodeCommand {

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    KeysResponse response = client.get("/operator/keys", KeysResponse.class);
    print(terminal, response, () -> printText(terminal, response));
    return ExitCode.DONE;
  }

  private static void printText(Terminal terminal, KeysResponse response) {
    Table table = new Table("KEY ID", "ACCOUNT", "LABEL", "ISSUED", "WITHDRAWN");
    for (KeysResponse.Entry key : response.keys()) {
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
