package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.keys.KeyText;
import org.teaseltrestle.model.operators.ChangeAnswer;
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
      description = "request id; by default derived from the key id")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    if (!KeyText.isKeyId(keyId)) {
      // The argument may be a whole key by mistake, so it is not repeated.
      throw new TrestleException(
          ErrorCode.INVALID_IDENTIFIER, "a key id is the 16 hex characters after tt_");
    }
    String id = requestId.isEmpty() ? "withdraw-" + keyId : requestId;
    ChangeAnswer answer =
        sendChange(
            client,
            "/operator/keys/" + keyId + "/withdraw",
            new WithdrawRequest(id),
            ChangeAnswer.class,
            id);
    if (answer.status() != ChangeAnswer.Status.ACCEPTED) {
      print(terminal, answer, () -> {});
      terminal.error().println("teaseltrestle: " + answer.message());
      return ExitCode.of(answer.status());
    }
    ChangeAnswer newest =
        ConfirmationWait.await(
            client, answer, System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds));
    print(
        terminal,
        newest,
        () ->
            terminal
                .output()
                .println(
                    "Key "
                        + keyId
                        + " is withdrawn; "
                        + ConfirmationWait.describe(newest.confirmation())));
    return ConfirmationWait.exitCode(newest.confirmation());
  }
}
