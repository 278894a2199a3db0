package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.Json;

/** Runs the operators' command line against a cluster. */
public final class CommandLineRunner {

  private static final String BINARY = "bin/teaseltrestle";
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  /** Commands run in parallel; each is a Java process. */
  private static final int PARALLEL_COMMANDS = 4;

  private final Path root;
  private final Path tokenFile;
  private final String addresses;

  /**
   * Result of a command.
   *
   * @param exitCode exit code as in design section 11
   * @param output standard output
   * @param error standard error
   */
  public record Result(int exitCode, String output, String error) {}

  /** Creates a runner whose commands try these operator addresses in this order. */
  public CommandLineRunner(Path root, Path tokenFile, List<String> operatorAddresses) {
    this.root = root;
    this.tokenFile = tokenFile;
    this.addresses = String.join(",", operatorAddresses);
  }

  /** Runs a command and returns its result, whatever its exit code. */
  public Result run(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(root.resolve(BINARY).toString());
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("TEASELTRESTLE_OPERATOR_ADDRESS", addresses);
    builder.environment().put("TEASELTRESTLE_TOKEN_FILE", tokenFile.toString());
    try {
      return awaitResult(builder.start());
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "the command line cannot be run", e);
    }
  }

  /** Runs a command; throws {@code REFUSED} with its error output if it fails. */
  public Result runOrThrow(String... arguments) {
    Result result = run(arguments);
    if (result.exitCode() != 0) {
      throw new TrestleException(
          ErrorCode.REFUSED,
          String.join(" ", arguments)
              + " exited with "
              + result.exitCode()
              + ": "
              + result.error().strip());
    }
    return result;
  }

  /** Issues a key for an account and returns the complete key. */
  public String issueKey(String account) {
    Result result = runOrThrow("keys", "issue", "--json", "--account", account);
    JsonNode key = Json.parse(result.output()).path("key");
    if (key.asText().isEmpty()) {
      throw new TrestleException(ErrorCode.REFUSED, "no key was returned for account " + account);
    }
    return key.asText();
  }

  /** Issues a key for each account, a few in parallel, and returns them by account. */
  public Map<String, String> issueKeys(List<String> accounts) {
    Map<String, String> keys = new ConcurrentHashMap<>();
    ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_COMMANDS);
    try {
      List<CompletableFuture<Void>> issued =
          accounts.stream()
              .map(
                  account ->
                      CompletableFuture.runAsync(
                          () -> keys.put(account, issueKey(account)), executor))
              .toList();
      issued.forEach(CompletableFuture::join);
    } finally {
      executor.shutdown();
    }
    return keys;
  }

  private static Result awaitResult(Process process) throws IOException {
    CompletableFuture<String> error =
        CompletableFuture.supplyAsync(() -> readAll(process.errorReader(StandardCharsets.UTF_8)));
    process.getOutputStream().close();
    String output = readAll(process.inputReader(StandardCharsets.UTF_8));
    try {
      if (!process.waitFor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        process.destroyForcibly();
        throw new TrestleException(ErrorCode.UNREACHABLE, "the command line did not exit in time");
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while running a command", e);
    }
    return new Result(process.exitValue(), output, error.join());
  }

  private static String readAll(java.io.BufferedReader reader) {
    StringBuilder text = new StringBuilder();
    reader.lines().forEach(line -> text.append(line).append('\n'));
    return text.toString();
  }
}
