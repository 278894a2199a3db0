package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.OperatorError;
import org.teaseltrestle.model.operators.OperatorJson;

/** Base of the commands that call a node. */
public abstract class NodeCommand implements CommandAction {

  static final String ADDRESS_VARIABLE = "TEASELTRESTLE_OPERATOR_ADDRESS";
  static final String TOKEN_VARIABLE = "TEASELTRESTLE_TOKEN_FILE";

  @Option(
      name = {"--operator-address"},
      title = "addresses",
      description =
          "operator addresses of nodes, host:port separated by commas; the next one is tried when"
              + " one does not answer (or environment variable "
              + ADDRESS_VARIABLE
              + ")")
  private String addresses = "";

  @Option(
      name = {"--token-file"},
      title = "file",
      description =
          "file with the operators' token (or environment variable " + TOKEN_VARIABLE + ")")
  private String tokenFile = "";

  @Option(
      name = {"--timeout-seconds"},
      title = "seconds",
      description = "time after which the command gives up reaching a node; default 20")
  private long timeoutSeconds = 20;

  @Option(
      name = {"--json"},
      description = "print the answer as one JSON document")
  private boolean json;

  @Override
  public final ExitCode run(Terminal terminal) {
    try {
      return execute(terminal, client(terminal));
    } catch (TrestleException e) {
      if (json) {
        String code = e.code().name().toLowerCase(Locale.ROOT);
        terminal
            .output()
            .println(OperatorJson.write(new OperatorError(code, String.valueOf(e.getMessage()))));
      }
      terminal.error().println("teaseltrestle: " + e.getMessage());
      return ExitCode.of(e.code());
    }
  }

  /** Runs the command; errors are thrown as {@link TrestleException}. */
  protected abstract ExitCode execute(Terminal terminal, OperatorClient client);

  /** Prints a result: its JSON form if asked for, otherwise its text form. */
  protected final void print(Terminal terminal, Object answer, Runnable textForm) {
    if (json) {
      terminal.output().println(OperatorJson.write(answer));
    } else {
      textForm.run();
    }
  }

  /** Returns a request id: the operator's choice, or a new one that is told on failure. */
  protected static String requestIdOr(String chosen) {
    return chosen.isEmpty() ? UUID.randomUUID().toString() : chosen;
  }

  /**
   * Sends a change; when no node answers, the error says how to send it again.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no node answers
   */
  protected static <T> T sendChange(
      OperatorClient client, String path, Object body, Class<T> type, String requestId) {
    try {
      return client.post(path, body, type);
    } catch (TrestleException e) {
      if (e.code() != ErrorCode.UNREACHABLE) {
        throw e;
      }
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          e.getMessage()
              + "; the change may have been made, repeat it with --request-id "
              + requestId,
          e);
    }
  }

  static String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, "file cannot be read: " + file, e);
    }
  }

  private OperatorClient client(Terminal terminal) {
    String list =
        addresses.isEmpty() ? terminal.environment().getOrDefault(ADDRESS_VARIABLE, "") : addresses;
    String file =
        tokenFile.isEmpty() ? terminal.environment().getOrDefault(TOKEN_VARIABLE, "") : tokenFile;
    List<String> nodes =
        Arrays.stream(list.split(",", -1)).map(String::strip).filter(a -> !a.isEmpty()).toList();
    if (nodes.isEmpty()) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          "no operator address: give --operator-address or set " + ADDRESS_VARIABLE);
    }
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    return new OperatorClient(nodes, file.isEmpty() ? "" : readFile(file).strip(), deadline);
  }
}
