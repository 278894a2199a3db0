package org.teaseltrestle.integration.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** List files of the process tests; the deadlines are generous, since the machine is shared. */
final class TestLists {

  private static final String PLANS =
      """
      {"plans": [{"plan": "large", "weight": 1, "priority": 0, "tokensPerSecond": 1000000,
        "burstTokens": 1000000, "requestsPerSecond": 10000, "maximumRunning": 1000,
        "firstTokenMilliseconds": 30000, "betweenTokensMilliseconds": 5000,
        "models": ["pren-7b"], "services": ["iard"], "cheapCapacity": "never"}],
       "models": [{"model": "pren-7b", "pool": "pren-models",
        "minimumServers": 2, "maximumServers": 5}],
       "services": [{"service": "iard", "pool": "iard-app",
        "openRoutes": ["GET /opening-hours"], "idempotentRoutes": []}]}
      """;

  private final Path accounts;
  private final Path plans;

  private TestLists(Path accounts, Path plans) {
    this.accounts = accounts;
    this.plans = plans;
  }

  /** Writes lists that differ from all others by an additional account. */
  static TestLists write(Path folder, String extraAccount) {
    Path accounts = folder.resolve("accounts-" + extraAccount + ".json");
    Path plans = folder.resolve("plans.json");
    try {
      Files.writeString(
          accounts,
          "{\"accounts\": [{\"account\": \"yard-north\", \"plan\": \"large\"}, {\"account\": \""
              + extraAccount
              + "\", \"plan\": \"large\"}]}\n");
      Files.writeString(plans, PLANS);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be written", e);
    }
    return new TestLists(accounts, plans);
  }

  /** Returns the arguments of a command followed by the paths of both files. */
  String[] commandWithFiles(String... arguments) {
    String[] all = new String[arguments.length + 2];
    System.arraycopy(arguments, 0, all, 0, arguments.length);
    all[arguments.length] = accounts.toString();
    all[arguments.length + 1] = plans.toString();
    return all;
  }
}
