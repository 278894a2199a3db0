package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.keys.ApiKey;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.WithdrawRequest;

/** Withdraws a key and waits until no instance accepts it. */
@Command(name = "withdraw", description = "Withdraws a key and waits until no instance accepts it")
public final class KeysWithdrawCommand extends NodeCommand {

  @Required
  @NoOptionLikeValues
  @Arguments(title = "key id", description = "key id, the part after tt_")
  private String keyId = "";

  @Option(
      name = {"--wait-seconds"},
      title = "seconds",
      description = "longest wait for all instances; default 15")
  private long waitSeconds = 15;

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; default is derived from the key id")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    if (!ApiKey.isKeyId(keyId)) {
      // The argument may be a complete key by mistake, so the message does not contain it.
      throw new TrestleException(
          ErrorCode.INVALID_IDENTIFIER,
          "invalid key id: expected the 16 hexadecimal digits after tt_");
    }
    String id = requestId.isEmpty() ? "withdraw-" + keyId : requestId;
    ChangeResponse response =
        sendChange(
            client,
            "/operator/keys/" + keyId + "/withdraw",
            new WithdrawRequest(id),
            ChangeResponse.class,
            id);
    if (response.status() != ChangeResponse.Status.ACCEPTED) {
      print(terminal, response, () -> {});
      terminal.error().println("teaseltrestle: " + response.message());
      return ExitCode.of(response.status());
    }
    ChangeResponse latest =
        ConfirmationWait.await(
            client, response, System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds));
    print(
        terminal,
        latest,
        () ->
            terminal
                .output()
                .println(
                    "Key "
                        + keyId
                        + " is withdrawn; "
                        + ConfirmationWait.describe(latest.confirmation())));
    return ConfirmationWait.exitCode(latest.confirmation());
  }
}
