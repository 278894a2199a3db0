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

/** Base class of the commands that call a node. */
public abstract class NodeCommand implements CommandAction {

  static final String ADDRESS_VARIABLE = "TEASELTRESTLE_OPERATOR_ADDRESS";
  static final String TOKEN_VARIABLE = "TEASELTRESTLE_TOKEN_FILE";

  @Option(
      name = {"--operator-address"},
      title = "addresses",
      description =
          "operator addresses of nodes, host:port separated by commas; if one does not respond,"
              + " the next one is tried (or environment variable "
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
      description = "timeout for reaching a node; default 20")
  private long timeoutSeconds = 20;

  @Option(
      name = {"--json"},
      description = "print the result as one JSON document")
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

  /**
   * Runs the command and returns its exit code.
   *
   * @throws TrestleException if the command fails
   */
  protected abstract ExitCode execute(Terminal terminal, OperatorClient client);

  /** Prints a result: as JSON if the option {@code --json} is set, otherwise as text. */
  protected final void print(Terminal terminal, Object result, Runnable printText) {
    if (json) {
      terminal.output().println(OperatorJson.write(result));
    } else {
      printText.run();
    }
  }

  /** Returns the request id that the operator chose, or a new one if it is empty. */
  protected static String requestIdOr(String chosen) {
    return chosen.isEmpty() ? UUID.randomUUID().toString() : chosen;
  }

  /**
   * Sends a change. If no node responds, the error message shows how to retry it.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no node responds
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
    String addressList =
        addresses.isEmpty() ? terminal.environment().getOrDefault(ADDRESS_VARIABLE, "") : addresses;
    String file =
        tokenFile.isEmpty() ? terminal.environment().getOrDefault(TOKEN_VARIABLE, "") : tokenFile;
    List<String> nodes =
        Arrays.stream(addressList.split(",", -1))
            .map(String::strip)
            .filter(address -> !address.isEmpty())
            .toList();
    if (nodes.isEmpty()) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          "no operator address: specify --operator-address or set " + ADDRESS_VARIABLE);
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    return new OperatorClient(nodes, file.isEmpty() ? "" : readFile(file).strip(), deadlineNanos);
  }
}
