package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.teaseltrestle.model.keys.ApiKey;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.KeyIssueResponse;
import org.teaseltrestle.model.operators.KeyRequest;

/**
 * Issues a key. The key is generated here and only its salted hash is sent, so that the key can be
 * shown even if the response is lost and the request is retried.
 */
@Command(name = "issue", description = "Issues a key and shows it once")
public final class KeysIssueCommand extends NodeCommand {

  @Required
  @Option(
      name = {"--account"},
      title = "account",
      description = "client account that the key belongs to")
  private String account = "";

  @Option(
      name = {"--label"},
      title = "text",
      description = "description for operators")
  private String label = "";

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; default is a new one")
  private String requestId = "";

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    SecureRandom random = new SecureRandom();
    byte[] randomBytes = new byte[ApiKey.RANDOM_BYTES];
    random.nextBytes(randomBytes);
    byte[] salt = new byte[ApiKey.SALT_BYTES];
    random.nextBytes(salt);
    ApiKey key = ApiKey.generate(randomBytes);
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
    ChangeResponse response =
        sendChange(client, "/operator/keys", request, KeyIssueResponse.class, id).change();
    return report(terminal, response, key);
  }

  private ExitCode report(Terminal terminal, ChangeResponse response, ApiKey key) {
    boolean accepted = response.status() == ChangeResponse.Status.ACCEPTED;
    if (accepted && response.subject().equals(key.keyId())) {
      print(
          terminal,
          new KeyIssueResponse(response, key.reveal()),
          () -> terminal.output().println(key.reveal()));
      terminal.error().println("The key is not shown again; only its hash is stored.");
      return ExitCode.DONE;
    }
    print(terminal, new KeyIssueResponse(response, ""), () -> {});
    if (accepted) {
      terminal
          .error()
          .println(
              "teaseltrestle: this request has already issued the key "
                  + response.subject()
                  + ", which cannot be shown again. Withdraw it and issue another one.");
      return ExitCode.FAILED;
    }
    terminal.error().println("teaseltrestle: " + response.message());
    return ExitCode.of(response.status());
  }
}
