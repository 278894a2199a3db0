package org.teaseltrestle.testkit.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.checker.RunEvidence;
import org.teaseltrestle.testkit.cluster.ClusterNode;
import org.teaseltrestle.testkit.cluster.CommandLineRunner;
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;

/**
 * An operator who repeatedly changes the lists, withdraws a key and plans changes of engines,
 * through the nodes in random order. Runs on a thread of its own until {@link #stop} is called.
 */
final class SoakOperator implements Runnable {

  private static final EventLog LOG = EventLog.of(SoakOperator.class);

  /** Short enough for several changes during a schedule, which lasts at least 10 s. */
  private static final long PAUSE_MILLIS = 1_500;

  private static final List<String> PLANNED_CHANGES = List.of("drain", "undrain", "replace");
  private static final int CHANGES_BEFORE_WITHDRAWAL = 2;

  /** A key consists of {@code tt_}, its ID of 16 characters and its secret. */
  private static final int KEY_ID_START = 3;

  private static final int KEY_ID_END = 19;

  private final Path root;
  private final Path folder;
  private final LocalCluster cluster;
  private final String withdrawnAccount;
  private final String withdrawnKey;
  private final Random random;
  private final AtomicBoolean stopRequested = new AtomicBoolean();
  private final List<Long> acceptedRevisions = new ArrayList<>();
  private final List<RunEvidence.Withdrawal> withdrawals = new ArrayList<>();
  private int changes;

  SoakOperator(
      Path root,
      Path folder,
      LocalCluster cluster,
      String withdrawnAccount,
      String withdrawnKey,
      long seed) {
    this.root = root;
    this.folder = folder;
    this.cluster = cluster;
    this.withdrawnAccount = withdrawnAccount;
    this.withdrawnKey = withdrawnKey;
    this.random = new Random(seed);
  }

  @Override
  public void run() {
    try {
      while (!stopRequested.get()) {
        changeLists();
        if (changes == CHANGES_BEFORE_WITHDRAWAL) {
          withdrawKey();
        }
        planEngineChange();
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops after the iteration in progress; returns at once. */
  void stop() {
    stopRequested.set(true);
  }

  /** Applies new lists; returns whether they were accepted. */
  boolean changeLists() {
    changes++;
    Path accounts = writeAccounts("added-" + changes);
    CommandLineRunner.Result result =
        commandLine()
            .run(
                "apply",
                "--json",
                "--timeout-seconds",
                "20",
                accounts.toString(),
                root.resolve("samples/plans.json").toString());
    if (result.exitCode() != 0) {
      // A change may fail during a fault; whether it took effect is then unknown.
      LOG.info(TestkitEvent.CHANGE_FAILED, "exitCode", result.exitCode(), "error", result.error());
      return false;
    }
    addAcceptedRevision(Json.parse(result.output()).path("listsRevision").asLong());
    return true;
  }

  /** Returns the list revisions that were accepted so far. */
  synchronized List<Long> acceptedRevisions() {
    return List.copyOf(acceptedRevisions);
  }

  /** Returns the withdrawals that were confirmed so far. */
  synchronized List<RunEvidence.Withdrawal> withdrawals() {
    return List.copyOf(withdrawals);
  }

  /** Plans to replace or drain a random engine, or to cancel its drain. */
  private void planEngineChange() {
    String kind = PLANNED_CHANGES.get(random.nextInt(PLANNED_CHANGES.size()));
    List<FleetFile.Engine> engines = cluster.fakes().fleet().engines();
    String engine = engines.get(random.nextInt(engines.size())).id();
    CommandLineRunner.Result result = commandLine().run(kind, engine);
    LOG.info(
        TestkitEvent.CHANGE_PLANNED,
        "kind",
        kind,
        "engine",
        engine,
        "exitCode",
        result.exitCode(),
        "error",
        result.error());
  }

  private void withdrawKey() {
    String id = withdrawnKey.substring(KEY_ID_START, KEY_ID_END);
    CommandLineRunner.Result result =
        commandLine().run("keys", "withdraw", id, "--wait-seconds", "20");
    if (result.exitCode() == 0) {
      synchronized (this) {
        withdrawals.add(new RunEvidence.Withdrawal(withdrawnAccount, System.currentTimeMillis()));
      }
    } else {
      LOG.info(TestkitEvent.CHANGE_FAILED, "exitCode", result.exitCode(), "error", result.error());
    }
  }

  private synchronized void addAcceptedRevision(long revision) {
    acceptedRevisions.add(revision);
  }

  private CommandLineRunner commandLine() {
    List<String> addresses =
        new ArrayList<>(cluster.nodes().stream().map(ClusterNode::operatorAddress).toList());
    Collections.shuffle(addresses, random);
    return new CommandLineRunner(root, cluster.tokenFile(), addresses);
  }

  private Path writeAccounts(String extraAccount) {
    ObjectNode accounts = Json.read(root.resolve("samples/accounts.json"), ObjectNode.class);
    accounts
        .withArray("accounts")
        .addObject()
        .put("account", extraAccount)
        .put("plan", "coop-small");
    Path file = folder.resolve("accounts-" + extraAccount + ".json");
    try {
      Files.writeString(file, accounts + "\n");
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
    return file;
  }
}
