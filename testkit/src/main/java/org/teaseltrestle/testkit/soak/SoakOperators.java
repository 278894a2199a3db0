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
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.cluster.Operators;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;

/**
 * An operator who changes the lists again and again, withdraws a key and plans changes of engines,
 * through whichever node answers first. Runs on one thread of its own until it is asked to stop.
 */
final class SoakOperators implements Runnable {

  private static final EventLog LOG = EventLog.of(SoakOperators.class);

  /** Several changes then fall into every schedule, which lasts at least ten seconds. */
  private static final long PAUSE_MILLIS = 1_500;

  private static final List<String> PLANNED_CHANGES = List.of("drain", "undrain", "replace");
  private static final int CHANGES_BEFORE_WITHDRAWAL = 2;

  /** A key is {@code tt_}, its id of 16 characters and its secret. */
  private static final int KEY_ID_BEGIN = 3;

  private static final int KEY_ID_END = 19;

  private final Path root;
  private final Path folder;
  private final LocalCluster cluster;
  private final String withdrawnAccount;
  private final String withdrawnKey;
  private final Random random;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final List<Long> accepted = new ArrayList<>();
  private final List<RunEvidence.Withdrawal> withdrawals = new ArrayList<>();
  private int changes;

  SoakOperators(
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
      while (!stopping.get()) {
        change();
        if (changes == CHANGES_BEFORE_WITHDRAWAL) {
          withdraw();
        }
        planChange();
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets the change that runs come to its end, and makes no other. */
  void stop() {
    stopping.set(true);
  }

  /** Applies new lists once; returns whether they were accepted. */
  boolean change() {
    changes++;
    Path accounts = writeAccounts("added-" + changes);
    Operators.Answer answer =
        operators()
            .run(
                "apply",
                "--json",
                "--timeout-seconds",
                "20",
                accounts.toString(),
                root.resolve("samples/plans.json").toString());
    if (answer.exitCode() != 0) {
      // During a fault a change may fail; whether the failed one took effect is not known.
      LOG.info(TestkitEvent.CHANGE_FAILED, "exitCode", answer.exitCode(), "error", answer.error());
      return false;
    }
    accept(Json.parse(answer.output()).path("listsRevision").asLong());
    return true;
  }

  /** Returns the revisions that were accepted so far. */
  synchronized List<Long> accepted() {
    return List.copyOf(accepted);
  }

  /** Returns the withdrawals that were confirmed so far. */
  synchronized List<RunEvidence.Withdrawal> withdrawals() {
    return List.copyOf(withdrawals);
  }

  /** Plans to replace, drain or take back the drain of any engine. */
  private void planChange() {
    String kind = PLANNED_CHANGES.get(random.nextInt(PLANNED_CHANGES.size()));
    List<FleetFile.Engine> engines = cluster.fakes().fleet().engines();
    String engine = engines.get(random.nextInt(engines.size())).id();
    Operators.Answer answer = operators().run(kind, engine);
    LOG.info(
        TestkitEvent.CHANGE_PLANNED,
        "kind",
        kind,
        "engine",
        engine,
        "exitCode",
        answer.exitCode(),
        "error",
        answer.error());
  }

  private void withdraw() {
    String id = withdrawnKey.substring(KEY_ID_BEGIN, KEY_ID_END);
    Operators.Answer answer = operators().run("keys", "withdraw", id, "--wait-seconds", "20");
    if (answer.exitCode() == 0) {
      synchronized (this) {
        withdrawals.add(new RunEvidence.Withdrawal(withdrawnAccount, System.currentTimeMillis()));
      }
    } else {
      LOG.info(TestkitEvent.CHANGE_FAILED, "exitCode", answer.exitCode(), "error", answer.error());
    }
  }

  private synchronized void accept(long revision) {
    accepted.add(revision);
  }

  private Operators operators() {
    List<String> addresses =
        new ArrayList<>(cluster.nodes().stream().map(ClusterNode::operatorAddress).toList());
    Collections.shuffle(addresses, random);
    return new Operators(root, cluster.tokenFile(), addresses);
  }

  private Path writeAccounts(String added) {
    ObjectNode accounts = Json.read(root.resolve("samples/accounts.json"), ObjectNode.class);
    accounts.withArray("accounts").addObject().put("account", added).put("plan", "coop-small");
    Path file = folder.resolve("accounts-" + added + ".json");
    try {
      Files.writeString(file, accounts + "\n");
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
    return file;
  }
}
