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
import org.teaseltrestle.testkit.replay.Outcome;
import org.teaseltrestle.testkit.replay.Replay;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/** One cluster for all tests of a class: three voters and one follower in four failure domains. */
public abstract class ClusterFixture {

  protected static final Duration LIMIT = Duration.ofSeconds(40);
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
  private final List<String> stops = new ArrayList<>();

  /**
   * What a command answered.
   *
   * @param code exit code
   * @param output standard output
   * @param error standard error
   */
  protected record Answer(ExitCode code, String output, String error) {}

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
                .startLimit(LIMIT)
                .build());
    token = Files.readString(cluster().tokenFile()).strip();
    watcher = RevisionWatcher.start(cluster());
    assertEquals(applyNext().code(), ExitCode.DONE);
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

  /** Ends all faults of the test before. */
  @BeforeMethod
  public void restore() {
    cluster().heal();
    for (ClusterNode node : cluster().nodes()) {
      if (!cluster().runs(node.instance())) {
        cluster().startNode(node.instance());
      }
    }
    cluster().nodes().forEach(node -> cluster().awaitReady(node.instance()));
    awaitServing(cluster().nodes());
  }

  /** Returns the cluster(). */
  protected LocalCluster cluster() {
    return Objects.requireNonNull(cluster);
  }

  /** Returns the key of the tests' account. */
  protected String key() {
    return key;
  }

  /** Returns the address of a node's caller port. */
  protected String caller(String instance) {
    return cluster().node(instance).callerAddress();
  }

  /** Returns all instances but the named ones. */
  protected List<String> others(String... instances) {
    return cluster().nodes().stream()
        .map(ClusterNode::instance)
        .filter(instance -> !List.of(instances).contains(instance))
        .toList();
  }

  /** Runs the command line against all nodes. */
  protected Answer run(String... arguments) {
    return runAt(others(), arguments);
  }

  /** Runs the command line against some nodes, tried in this order. */
  protected Answer runAt(List<String> instances, String... arguments) {
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
    return new Answer(code, output.toString(UTF_8), error.toString(UTF_8));
  }

  /** Returns lists that were not used before. */
  protected TestLists nextLists() {
    return TestLists.write(folder, "added-" + ++changes);
  }

  /** Applies new lists. */
  protected Answer applyNext() {
    return run(nextLists().after("apply", "--timeout-seconds", "40"));
  }

  /** Applies new lists over a known revision, so that the view of a lagging node plays no part. */
  protected Answer applyOver(long revision, List<String> instances) {
    String base = Long.toString(revision);
    return runAt(
        instances, nextLists().after("apply", "--base-revision", base, "--timeout-seconds", "40"));
  }

  /** Applies new lists until they are accepted, at any node that answers. */
  protected void mustApplyNext() {
    Answer answer = applyNext();
    assertEquals(answer.code(), ExitCode.DONE, answer.error());
  }

  /** Issues a key for the account of the tests. */
  protected String issueKey() {
    Answer answer = run("keys", "issue", "--account", "yard-north");
    assertEquals(answer.code(), ExitCode.DONE, answer.error());
    keys.add(answer.output().strip());
    return answer.output().strip();
  }

  /** Returns a node's status, or an empty object if it gives none. */
  protected JsonNode status(String instance) {
    try {
      return RevisionWatcher.status(cluster().node(instance), token);
    } catch (TrestleException e) {
      return Json.object();
    }
  }

  /** Returns the revision that a node shows, or -1. */
  protected long revision(String instance) {
    return status(instance).path("listsRevision").asLong(-1);
  }

  /** Waits for a leader with authority that runs, and returns its instance. */
  protected String leader() {
    List<String> found = new ArrayList<>();
    Await.until(
        "a leader has authority",
        LIMIT,
        () -> {
          found.clear();
          others().stream()
              .filter(cluster()::runs)
              .map(instance -> status(instance).path("authorityInstance").asText(""))
              .filter(instance -> !instance.isEmpty() && cluster().runs(instance))
              .findFirst()
              .ifPresent(found::add);
          return !found.isEmpty();
        });
    return found.get(0);
  }

  /** Waits until every node shows a revision. */
  protected void awaitRevision(long revision) {
    for (ClusterNode node : cluster().nodes()) {
      Await.until(
          node.instance() + " shows revision " + revision,
          LIMIT,
          () -> revision(node.instance()) >= revision);
    }
  }

  /** Replays requests in the background over some nodes, in turn. */
  protected CompletableFuture<List<RequestResult>> replay(
      String name, List<String> instances, List<TraceEntry> trace) {
    List<String> addresses = instances.stream().map(this::caller).toList();
    ReplaySettings settings = ReplaySettings.of(name, addresses, Map.of("yard-north", key));
    return CompletableFuture.supplyAsync(() -> new Replay(trace, settings).run())
        .whenComplete(
            (answers, failure) -> {
              if (answers != null) {
                results.addAll(answers);
              }
            });
  }

  /** Returns the number of model requests that the engines have started so far. */
  protected long started() {
    return cluster().fakes().records().engines().stream()
        .filter(entry -> entry.kind().equals("started"))
        .count();
  }

  /** Asserts that every caller got its whole answer. */
  protected static void assertAllWhole(List<RequestResult> results) {
    assertEquals(
        results.stream().filter(result -> result.outcome() != Outcome.COMPLETED).toList(),
        List.of());
  }

  /** Notes a graceful stop for the checker. */
  protected void noteGracefulStop(String instance) {
    stops.add(instance);
  }

  /** Returns a node's log. */
  protected String log(String instance) {
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
    Objects.requireNonNull(watcher).seen().forEach(evidence::observedRevision);
    others().forEach(instance -> evidence.log(instance, log(instance)));
    long now = System.currentTimeMillis();
    stops.forEach(instance -> evidence.gracefulStop(caller(instance), now));
    assertEquals(InvariantChecker.check(evidence.build()), List.of());
  }

  private void awaitServing(List<ClusterNode> nodes) {
    Callers callers = new Callers();
    for (ClusterNode node : nodes) {
      Await.until(
          node.instance() + " serves keyed requests",
          LIMIT,
          () -> callers.get(node.callerAddress(), key).status() == 200);
    }
  }
}
