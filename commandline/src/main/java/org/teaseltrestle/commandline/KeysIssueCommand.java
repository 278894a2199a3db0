package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.teaseltrestle.model.keys.KeyText;
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.KeyAnswer;
import org.teaseltrestle.model.operators.KeyRequest;

/**
 * Issues a key. The key is made here and only its salted hash is sent, so a resend after a lost
 * answer still ends in a key that is shown.
 */
@Command(name = "issue", description = "Issues a key and shows it once")
public final class KeysIssueCommand extends NodeCommand {

  @Required
  @Option(
      name = {"--account"},
      title = "account",
      description = "account that the key belongs to")
  private String account = "";

  @Option(
      name = {"--label"},
      title = "text",
      description = "remark for operators")
  private String label = "";

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; by default a new one")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    SecureRandom random = new SecureRandom();
    byte[] material = new byte[KeyText.RANDOM_BYTES];
    random.nextBytes(material);
    byte[] salt = new byte[KeyText.SALT_BYTES];
    random.nextBytes(salt);
    KeyText key = KeyText.generate(material);
    String id = requestIdOr(requestId);
    HexFormat hex = HexFormat.of();
    KeyRequest request =
        new KeyRequest(
            id,
            account,
            label,
            key.keyId(),
            hex.formatHex(salt),
            hex.formatHex(key.secretHash(salt)));
    ChangeAnswer answer =
        sendChange(client, "/operator/keys", request, KeyAnswer.class, id).change();
    return report(terminal, answer, key);
  }

  private ExitCode report(Terminal terminal, ChangeAnswer answer, KeyText key) {
    boolean accepted = answer.status() == ChangeAnswer.Status.ACCEPTED;
    if (accepted && answer.subject().equals(key.keyId())) {
      print(
          terminal,
          new KeyAnswer(answer, key.reveal()),
          () -> terminal.output().println(key.reveal()));
      terminal.error().println("The key is shown this once; only its hash is stored.");
      return ExitCode.DONE;
    }
    print(terminal, new KeyAnswer(answer, ""), () -> {});
    if (accepted) {
      terminal
          .error()
          .println(
              "teaseltrestle: this request issued the key "
                  + answer.subject()
                  + " before; it cannot be shown again. Withdraw it and issue another one.");
      return ExitCode.FAILED;
    }
    terminal.error().println("teaseltrestle: " + answer.message());
    return ExitCode.of(answer.status());
  }
}
