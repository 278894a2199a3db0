package org.teaseltrestle.testkit.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.checker.InvariantChecker;
import org.teaseltrestle.testkit.checker.Observations;
import org.teaseltrestle.testkit.checker.RunEvidence;
import org.teaseltrestle.testkit.cluster.Await;
import org.teaseltrestle.testkit.cluster.ClusterNode;
import org.teaseltrestle.testkit.cluster.ClusterPlan;
import org.teaseltrestle.testkit.cluster.Folders;
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.cluster.RevisionWatcher;
import org.teaseltrestle.testkit.cluster.SampleRun;
import org.teaseltrestle.testkit.fakes.FleetFile;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.replay.RunRecords;

/**
 * One seed: starts a cluster, injects the seed's faults while callers and an operator are at work,
 * checks the promises every few seconds, then ends all faults and checks that everything recovers
 * and that a node stops without cutting a request.
 */
public final class SoakRun implements AutoCloseable {

  private static final List<String> DOMAINS =
      List.of("caerdydd", "abertawe", "wrecsam", "aberystwyth");

  /** As in the other process tests. */
  private static final int HEAP_MEGABYTES = 128;

  /** Three voters bear the loss of one, five the loss of two. */
  private static final int FEW_VOTERS = 3;

  private static final int VOTERS = 5;
  private static final int NODES_FOR_ALL_VOTERS = 8;

  /** Before any fault; many nodes start at once on one machine. */
  private static final Duration START_LIMIT = Duration.ofSeconds(60);

  /** The longest answers run for seconds; the limit of the process tests. */
  private static final Duration STOP_LIMIT = Duration.ofSeconds(40);

  /** Design, section 3: a change is in force everywhere within 15 s. */
  private static final Duration RECOVERY = Duration.ofSeconds(15);

  /** Account whose only key is withdrawn while it is in use. */
  private static final String WITHDRAWN = "garden-works";

  private final SoakPlan plan;
  private final long seed;
  private final Path folder;
  private final Closer closer = new Closer();
  private final LocalCluster cluster;
  private final Set<String> problems = new LinkedHashSet<>();
  private long restoredAtMillis;

  /** Prepares a cluster for a seed. Odd seeds use mutual TLS between the nodes. */
  public SoakRun(SoakPlan plan, long seed) {
    this.plan = plan;
    this.seed = seed;
    this.folder = plan.workFolder().resolve("seed-" + seed);
    Folders.delete(folder);
    int voters = plan.nodes() < NODES_FOR_ALL_VOTERS ? FEW_VOTERS : VOTERS;
    this.cluster =
        closer.register(
            LocalCluster.prepare(
                ClusterPlan.builder(plan.root(), folder)
                    .domains(DOMAINS, plan.nodes() / DOMAINS.size())
                    .voters(voters)
                    .peerLinks(ClusterPlan.PeerLinks.PROXIED)
                    .peerSecurity(
                        seed % 2 == 0
                            ? ClusterPlan.PeerSecurity.PLAIN
                            : ClusterPlan.PeerSecurity.MUTUAL_TLS)
                    .nodeSettings(Json.object().put("usageWindowSeconds", 5))
                    .heapMegabytes(HEAP_MEGABYTES)
                    .startLimit(START_LIMIT)
                    .build()));
  }

  /** Runs the seed and returns what it showed. */
  public SoakResult run() {
    List<SoakStep> steps = SoakSchedule.of(seed, shape());
    write("steps.txt", steps.stream().map(SoakStep::toString).collect(Collectors.joining("\n")));
    cluster.startAll();
    SampleRun sample = new SampleRun(plan.root(), cluster);
    sample.prepare();
    RevisionWatcher watcher = closer.register(RevisionWatcher.start(cluster));
    SoakTraffic traffic = closer.register(new SoakTraffic(cluster, sample.keys(), seed));
    SoakOperators operators =
        new SoakOperators(
            plan.root(),
            folder,
            cluster,
            WITHDRAWN,
            sample.keys().getOrDefault(WITHDRAWN, ""),
            seed);
    FaultInjector injector = new FaultInjector(cluster);
    final CompletableFuture<Void> changes = CompletableFuture.runAsync(operators);
    CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> injector.run(steps));
    while (!faults.isDone()) {
      traffic.startSlice();
      pause();
      check(traffic.results(), sample, watcher, operators);
    }
    faults.join();
    operators.stop();
    changes.join();
    recover(injector, operators);
    traffic.awaitAll();
    awaitRevision(operators);
    RunEvidence evidence = check(traffic.results(), sample, watcher, operators);
    int requestsAtStop = stopOneNode(sample);
    SoakResult result =
        new SoakResult(
            seed,
            steps.size(),
            outcomes(traffic.results()),
            Observations.text(evidence),
            requestsAtStop,
            List.copyOf(problems));
    write("result.json", Json.text(result));
    return result;
  }

  @Override
  public void close() {
    closer.close();
  }

  private SoakShape shape() {
    List<ClusterNode> nodes = cluster.nodes();
    return new SoakShape(
        nodes.stream().map(ClusterNode::instance).toList(),
        nodes.stream().filter(ClusterNode::voter).map(ClusterNode::instance).toList(),
        DOMAINS.stream().map(cluster::instancesIn).toList(),
        cluster.fakes().fleet().engines().stream()
            .filter(engine -> !engine.prepared())
            .map(FleetFile.Engine::id)
            .toList(),
        plan.faultSeconds() * 1_000L);
  }

  /** Evidence so far; results are taken before the records, which then hold what led to them. */
  private RunEvidence check(
      List<RequestResult> results,
      SampleRun sample,
      RevisionWatcher watcher,
      SoakOperators operators) {
    RunRecords records = cluster.fakes().records();
    RunEvidence.Builder evidence = RunEvidence.builder(records);
    evidence.results(results).keys(sample.keys().values()).faults(RunEvidence.Faults.INJECTED);
    watcher.seen().forEach(evidence::observedRevision);
    operators.withdrawals().forEach(evidence::withdrawal);
    if (restoredAtMillis > 0) {
      operators
          .accepted()
          .forEach(revision -> evidence.acceptedRevision(revision, restoredAtMillis));
    }
    for (ClusterNode node : cluster.nodes()) {
      evidence.log(node.instance(), log(node));
    }
    RunEvidence built = evidence.build();
    InvariantChecker.check(built).forEach(violation -> problems.add(violation.toString()));
    return built;
  }

  private void recover(FaultInjector injector, SoakOperators operators) {
    cluster.heal();
    for (ClusterNode node : cluster.nodes()) {
      // A node that was asked to stop finishes its requests first.
      if (cluster.runs(node.instance()) && !cluster.isReady(node.instance())) {
        Await.holds(
            RECOVERY, () -> !cluster.runs(node.instance()) || cluster.isReady(node.instance()));
      }
    }
    injector.restore();
    restoredAtMillis = System.currentTimeMillis();
    expect(
        "every node is ready",
        () -> cluster.nodes().stream().allMatch(node -> cluster.isReady(node.instance())));
    if (!operators.change()) {
      problems.add("a change after all faults was not accepted");
    }
  }

  private void awaitRevision(SoakOperators operators) {
    List<Long> accepted = operators.accepted();
    long newest = accepted.stream().mapToLong(Long::longValue).max().orElse(0);
    String token = read(cluster.tokenFile()).strip();
    expect(
        "every node shows revision " + newest,
        () -> cluster.nodes().stream().allMatch(node -> revision(node, token) >= newest));
  }

  private static long revision(ClusterNode node, String token) {
    try {
      return RevisionWatcher.status(node, token).path("listsRevision").asLong(-1);
    } catch (TrestleException e) {
      return -1;
    }
  }

  /** Without any fault, a stop under load must cut nothing. Returns the number of requests. */
  private int stopOneNode(SampleRun sample) {
    ClusterNode stopped = cluster.nodes().get((int) (seed % cluster.nodes().size()));
    try (SoakTraffic traffic = new SoakTraffic(cluster, sample.keys(), -seed)) {
      traffic.startSlice(List.of(stopped.callerAddress()));
      pause();
      cluster.process(stopped.instance()).terminate();
      long stoppedAtMillis = System.currentTimeMillis();
      traffic.awaitAll();
      cluster.process(stopped.instance()).awaitEnd(STOP_LIMIT);
      RunEvidence evidence =
          RunEvidence.builder(cluster.fakes().records())
              .results(traffic.results())
              .gracefulStop(stopped.callerAddress(), stoppedAtMillis)
              .build();
      InvariantChecker.check(evidence).forEach(violation -> problems.add(violation.toString()));
      return traffic.results().size();
    }
  }

  private void expect(String condition, BooleanSupplier holds) {
    if (!Await.holds(RECOVERY, holds)) {
      problems.add(
          condition + " did not hold within " + RECOVERY.toSeconds() + " s after the faults");
    }
  }

  private static Map<String, Integer> outcomes(List<RequestResult> results) {
    Map<String, Integer> outcomes = new TreeMap<>();
    for (RequestResult result : results) {
      String code = result.code() == null ? "" : " " + result.code();
      outcomes.merge(result.outcome() + code, 1, Integer::sum);
    }
    return outcomes;
  }

  private static void pause() {
    try {
      Thread.sleep(SoakTraffic.SLICE_SECONDS * 1_000L);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted during a soak", e);
    }
  }

  private static String log(ClusterNode node) {
    return Files.exists(node.logFile()) ? read(node.logFile()) : "";
  }

  private static String read(Path file) {
    try {
      return new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be read", e);
    }
  }

  private void write(String name, String text) {
    try {
      Files.createDirectories(folder);
      Files.writeString(folder.resolve(name), text + "\n");
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be written", e);
    }
  }
}
