package org.teaseltrestle.integration.faults;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.commandline.CommandLineMain;
import org.teaseltrestle.commandline.ExitCode;
import org.teaseltrestle.commandline.Terminal;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.checker.InvariantChecker;
import org.teaseltrestle.testkit.checker.RunEvidence;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.cluster.ClusterNode;
import org.teaseltrestle.testkit.cluster.ClusterPlan;
import org.teaseltrestle.testkit.cluster.Folders;
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.cluster.RevisionWatcher;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.Replay;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/**
 * Runs one cluster for all tests of a class: three voters and one follower in four failure domains.
 */
public abstract class ClusterFixture {

  protected static final Duration TIMEOUT = Duration.ofSeconds(40);
  protected static final String FOLLOWER = "entry-4";
  private static final int HEAP_MEGABYTES = 128;

  private @Nullable LocalCluster cluster;
  private @Nullable RevisionWatcher watcher;
  private Path folder = Path.of("");
  private String token = "";
  private String key = "";
  private int changes;
  private final List<RequestResult> results = new ArrayList<>();
  private final List<String> keys = new ArrayList<>();
  private final List<String> gracefulStops = new ArrayList<>();

  /**
   * Result of a command.
   *
   * @param code exit code
   * @param output standard output
   * @param error standard error
   */
  protected record CommandResult(ExitCode code, String output, String error) {}

  /** Returns settings of the nodes that differ from the defaults. */
  protected ObjectNode nodeSettings() {
    return Json.object();
  }

  /** Starts the cluster, applies lists and issues a key. */
  @BeforeClass
  public void startCluster() throws IOException {
    Path root = Path.of(System.getProperty("trestle.root", ".."));
    folder = root.resolve("integration/target/clusters").resolve(getClass().getSimpleName());
    Folders.delete(folder);
    cluster =
        LocalCluster.start(
            ClusterPlan.builder(root, folder)
                .domains(List.of("caerdydd", "abertawe", "wrecsam", "aberystwyth"), 1)
                .peerLinks(ClusterPlan.PeerLinks.PROXIED)
                .nodeSettings(nodeSettings())
                .heapMegabytes(HEAP_MEGABYTES)
                .startTimeout(TIMEOUT)
                .build());
    token = Files.readString(cluster().tokenFile()).strip();
    watcher = RevisionWatcher.start(cluster());
    assertEquals(applyNewLists().code(), ExitCode.DONE);
    key = issueKey();
    awaitServing(cluster().nodes());
  }

  /** Stops every process of the cluster. */
  @AfterClass(alwaysRun = true)
  public void stopCluster() {
    if (watcher != null) {
      watcher.close();
    }
    if (cluster != null) {
      cluster.close();
    }
  }

  /** Ends all faults of the previous test and waits until every node serves requests. */
  @BeforeMethod
  public void endFaults() {
    cluster().heal();
    for (ClusterNode node : cluster().nodes()) {
      if (!cluster().isRunning(node.instance())) {
        cluster().startNode(node.instance());
      }
    }
    cluster().nodes().forEach(node -> cluster().awaitReady(node.instance()));
    awaitServing(cluster().nodes());
  }

  /** Returns the running cluster. */
  protected LocalCluster cluster() {
    return Objects.requireNonNull(cluster);
  }

  /** Returns the key of the account that the tests use. */
  protected String key() {
    return key;
  }

  /** Returns the address on which a node accepts callers' requests. */
  protected String callerAddress(String instance) {
    return cluster().node(instance).callerAddress();
  }

  /** Returns all instances but the named ones. */
  protected List<String> otherInstances(String... instances) {
    return cluster().nodes().stream()
        .map(ClusterNode::instance)
        .filter(instance -> !List.of(instances).contains(instance))
        .toList();
  }

  /** Runs the command line against all nodes. */
  protected CommandResult run(String... arguments) {
    return runAt(otherInstances(), arguments);
  }

  /** Runs the command line against some nodes, tried in this order. */
  protected CommandResult runAt(List<String> instances, String... arguments) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream error = new ByteArrayOutputStream();
    String addresses =
        instances.stream()
            .map(instance -> cluster().node(instance).operatorAddress())
            .collect(Collectors.joining(","));
    ExitCode code =
        CommandLineMain.run(
            new Terminal(
                new PrintStream(output, true, UTF_8),
                new PrintStream(error, true, UTF_8),
                Map.of(
                    "TEASELTRESTLE_OPERATOR_ADDRESS",
                    addresses,
                    "TEASELTRESTLE_TOKEN_FILE",
                    cluster().tokenFile().toString())),
            arguments);
    return new CommandResult(code, output.toString(UTF_8), error.toString(UTF_8));
  }

  /** Writes lists that differ from all earlier ones. */
  protected TestLists writeNextLists() {
    return TestLists.write(folder, "added-" + ++changes);
  }

  /** Applies new lists. */
  protected CommandResult applyNewLists() {
    return run(writeNextLists().commandWithFiles("apply", "--timeout-seconds", "40"));
  }

  /** Applies new lists to a given base revision, so that a lagging node's view has no influence. */
  protected CommandResult applyToBaseRevision(long revision, List<String> instances) {
    String base = Long.toString(revision);
    return runAt(
        instances,
        writeNextLists()
            .commandWithFiles("apply", "--base-revision", base, "--timeout-seconds", "40"));
  }

  /** Applies new lists and asserts that they were accepted. */
  protected void applyNewListsSuccessfully() {
    CommandResult result = applyNewLists();
    assertEquals(result.code(), ExitCode.DONE, result.error());
  }

  /** Issues another key for the account that the tests use. */
  protected String issueKey() {
    CommandResult result = run("keys", "issue", "--account", "yard-north");
    assertEquals(result.code(), ExitCode.DONE, result.error());
    keys.add(result.output().strip());
    return result.output().strip();
  }

  /** Returns a node's status, or an empty object if the node does not respond. */
  protected JsonNode status(String instance) {
    try {
      return RevisionWatcher.status(cluster().node(instance), token);
    } catch (TrestleException e) {
      return Json.object();
    }
  }

  /** Returns the active revision of a node's lists, or -1 if the node does not respond. */
  protected long activeRevision(String instance) {
    return status(instance).path("listsRevision").asLong(-1);
  }

  /** Waits for a running leader with authority and returns its instance ID. */
  protected String leader() {
    List<String> found = new ArrayList<>();
    Await.until(
        "a leader has authority",
        TIMEOUT,
        () -> {
          found.clear();
          otherInstances().stream()
              .filter(cluster()::isRunning)
              .map(instance -> status(instance).path("authorityInstance").asText(""))
              .filter(instance -> !instance.isEmpty() && cluster().isRunning(instance))
              .findFirst()
              .ifPresent(found::add);
          return !found.isEmpty();
        });
    return found.get(0);
  }

  /** Waits until a revision is active on every node. */
  protected void awaitRevision(long revision) {
    for (ClusterNode node : cluster().nodes()) {
      Await.until(
          node.instance() + " has activated revision " + revision,
          TIMEOUT,
          () -> activeRevision(node.instance()) >= revision);
    }
  }

  /** Replays a trace in the background, with its requests sent to some nodes in turn. */
  protected CompletableFuture<List<RequestResult>> replay(
      String name, List<String> instances, List<TraceEntry> trace) {
    List<String> addresses = instances.stream().map(this::callerAddress).toList();
    ReplaySettings settings = ReplaySettings.of(name, addresses, Map.of("yard-north", key));
    return CompletableFuture.supplyAsync(() -> new Replay(trace, settings).run())
        .whenComplete(
            (responses, failure) -> {
              if (responses != null) {
                results.addAll(responses);
              }
            });
  }

  /** Returns the number of model requests that the engines have started so far. */
  protected long startedRequests() {
    return cluster().fakes().records().engines().stream()
        .filter(entry -> entry.kind().equals("started"))
        .count();
  }

  /** Asserts that every caller received its complete response. */
  protected static void assertAllCompleted(List<RequestResult> results) {
    assertEquals(
        results.stream().filter(result -> result.outcome() != ReplayOutcome.COMPLETED).toList(),
        List.of());
  }

  /** Records a graceful stop for the invariant checker. */
  protected void recordGracefulStop(String instance) {
    gracefulStops.add(instance);
  }

  /** Returns the complete log of a node. */
  protected String readLog(String instance) {
    try {
      return new String(Files.readAllBytes(cluster().node(instance).logFile()), UTF_8);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, instance + " has no readable log", e);
    }
  }

  /** Checks all invariants on everything recorded so far. */
  protected void checkInvariants() {
    RunEvidence.Builder evidence = RunEvidence.builder(cluster().fakes().records());
    evidence.results(results).keys(keys).faults(RunEvidence.Faults.INJECTED);
    Objects.requireNonNull(watcher).observations().forEach(evidence::observedRevision);
    otherInstances().forEach(instance -> evidence.log(instance, readLog(instance)));
    long now = System.currentTimeMillis();
    gracefulStops.forEach(instance -> evidence.gracefulStop(callerAddress(instance), now));
    assertEquals(InvariantChecker.check(evidence.build()), List.of());
  }

  private void awaitServing(List<ClusterNode> nodes) {
    Callers callers = new Callers();
    for (ClusterNode node : nodes) {
      Await.until(
          node.instance() + " serves requests with a key",
          TIMEOUT,
          () -> callers.get(node.callerAddress(), key).status() == 200);
    }
  }
}
