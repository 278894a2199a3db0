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
import org.teaseltrestle.testkit.replay.FakeRecords;
import org.teaseltrestle.testkit.replay.RequestResult;

/**
 * Run of one seed: starts a cluster, injects the seed's faults while callers and an operator send
 * requests, and checks the invariants every few seconds. Then it ends all faults and checks that
 * the cluster recovers and that a node stops without interrupting a request.
 */
public final class SoakRun implements AutoCloseable {

  private static final List<String> DOMAINS =
      List.of("caerdydd", "abertawe", "wrecsam", "aberystwyth");

  /** The same as in the other process tests. */
  private static final int HEAP_MEGABYTES = 128;

  /** Three voters tolerate the loss of one, five the loss of two. */
  private static final int VOTERS_OF_SMALL_CLUSTER = 3;

  private static final int VOTERS = 5;
  private static final int MINIMUM_NODES_FOR_FIVE_VOTERS = 8;

  /** For the start before any fault; many nodes start at the same time on one machine. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  /** The longest responses take seconds; the same timeout as in the process tests. */
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

  /** Design section 3: a change is active on all instances within 15 s. */
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

  /** Account whose only key is withdrawn while it is in use. */
  private static final String WITHDRAWN_ACCOUNT = "garden-works";

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
    int voters = plan.nodes() < MINIMUM_NODES_FOR_FIVE_VOTERS ? VOTERS_OF_SMALL_CLUSTER : VOTERS;
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
                    .startTimeout(START_TIMEOUT)
                    .build()));
  }

  /** Runs the seed and returns its result; the problems found are part of it. */
  public SoakResult run() {
    List<ScheduledFault> schedule = SoakSchedule.of(seed, scheduleInput());
    write(
        "steps.txt",
        schedule.stream().map(ScheduledFault::toString).collect(Collectors.joining("\n")));
    cluster.startAll();
    SampleRun sample = new SampleRun(plan.root(), cluster);
    sample.prepare();
    RevisionWatcher watcher = closer.register(RevisionWatcher.start(cluster));
    SoakTraffic traffic = closer.register(new SoakTraffic(cluster, sample.keys(), seed));
    SoakOperator operator =
        new SoakOperator(
            plan.root(),
            folder,
            cluster,
            WITHDRAWN_ACCOUNT,
            sample.keys().getOrDefault(WITHDRAWN_ACCOUNT, ""),
            seed);
    FaultInjector injector = new FaultInjector(cluster);
    final CompletableFuture<Void> operatorRun = CompletableFuture.runAsync(operator);
    CompletableFuture<Void> injection = CompletableFuture.runAsync(() -> injector.run(schedule));
    while (!injection.isDone()) {
      traffic.startSlice();
      sleepOneSlice();
      checkInvariants(traffic.results(), sample, watcher, operator);
    }
    injection.join();
    operator.stop();
    operatorRun.join();
    recoverFromFaults(injector, operator);
    traffic.awaitAll();
    awaitLatestRevision(operator);
    RunEvidence evidence = checkInvariants(traffic.results(), sample, watcher, operator);
    int requestsAtStop = stopOneNode(sample);
    SoakResult result =
        new SoakResult(
            seed,
            schedule.size(),
            countOutcomes(traffic.results()),
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

  private FaultScheduleInput scheduleInput() {
    List<ClusterNode> nodes = cluster.nodes();
    return new FaultScheduleInput(
        nodes.stream().map(ClusterNode::instance).toList(),
        nodes.stream().filter(ClusterNode::voter).map(ClusterNode::instance).toList(),
        DOMAINS.stream().map(cluster::instancesIn).toList(),
        cluster.fakes().fleet().engines().stream()
            .filter(engine -> !engine.prepared())
            .map(FleetFile.Engine::id)
            .toList(),
        plan.faultSeconds() * 1_000L);
  }

  /**
   * Checks the invariants on the evidence so far and returns it. The results are passed in because
   * they are read before the records, which then contain everything that led to the results.
   */
  private RunEvidence checkInvariants(
      List<RequestResult> results,
      SampleRun sample,
      RevisionWatcher watcher,
      SoakOperator operator) {
    FakeRecords records = cluster.fakes().records();
    RunEvidence.Builder evidence = RunEvidence.builder(records);
    evidence.results(results).keys(sample.keys().values()).faults(RunEvidence.Faults.INJECTED);
    watcher.observations().forEach(evidence::observedRevision);
    operator.withdrawals().forEach(evidence::withdrawal);
    if (restoredAtMillis > 0) {
      operator
          .acceptedRevisions()
          .forEach(revision -> evidence.acceptedRevision(revision, restoredAtMillis));
    }
    for (ClusterNode node : cluster.nodes()) {
      evidence.log(node.instance(), readLog(node));
    }
    RunEvidence built = evidence.build();
    InvariantChecker.check(built).forEach(violation -> problems.add(violation.toString()));
    return built;
  }

  private void recoverFromFaults(FaultInjector injector, SoakOperator operator) {
    cluster.heal();
    for (ClusterNode node : cluster.nodes()) {
      // A node that received SIGTERM completes its requests before it exits.
      if (cluster.isRunning(node.instance()) && !cluster.isReady(node.instance())) {
        Await.holdsWithin(
            RECOVERY_TIMEOUT,
            () -> !cluster.isRunning(node.instance()) || cluster.isReady(node.instance()));
      }
    }
    injector.restore();
    restoredAtMillis = System.currentTimeMillis();
    expectWithinRecovery(
        "every node is ready",
        () -> cluster.nodes().stream().allMatch(node -> cluster.isReady(node.instance())));
    if (!operator.changeLists()) {
      problems.add("a change of the lists after all faults was not accepted");
    }
  }

  private void awaitLatestRevision(SoakOperator operator) {
    List<Long> accepted = operator.acceptedRevisions();
    long latest = accepted.stream().mapToLong(Long::longValue).max().orElse(0);
    String token = read(cluster.tokenFile()).strip();
    expectWithinRecovery(
        "every node has activated revision " + latest,
        () -> cluster.nodes().stream().allMatch(node -> activeRevision(node, token) >= latest));
  }

  private static long activeRevision(ClusterNode node, String token) {
    try {
      return RevisionWatcher.status(node, token).path("listsRevision").asLong(-1);
    } catch (TrestleException e) {
      return -1;
    }
  }

  /**
   * Stops one node under load without any fault, which must interrupt no request. Returns the
   * number of requests sent.
   */
  private int stopOneNode(SampleRun sample) {
    ClusterNode stopped = cluster.nodes().get((int) (seed % cluster.nodes().size()));
    try (SoakTraffic traffic = new SoakTraffic(cluster, sample.keys(), -seed)) {
      traffic.startSlice(List.of(stopped.callerAddress()));
      sleepOneSlice();
      cluster.process(stopped.instance()).terminate();
      long stoppedAtMillis = System.currentTimeMillis();
      traffic.awaitAll();
      cluster.process(stopped.instance()).awaitExit(STOP_TIMEOUT);
      RunEvidence evidence =
          RunEvidence.builder(cluster.fakes().records())
              .results(traffic.results())
              .gracefulStop(stopped.callerAddress(), stoppedAtMillis)
              .build();
      InvariantChecker.check(evidence).forEach(violation -> problems.add(violation.toString()));
      return traffic.results().size();
    }
  }

  private void expectWithinRecovery(String condition, BooleanSupplier isMet) {
    if (!Await.holdsWithin(RECOVERY_TIMEOUT, isMet)) {
      problems.add(
          condition + ": not met within " + RECOVERY_TIMEOUT.toSeconds() + " s after the faults");
    }
  }

  private static Map<String, Integer> countOutcomes(List<RequestResult> results) {
    Map<String, Integer> counts = new TreeMap<>();
    for (RequestResult result : results) {
      String code = result.code() == null ? "" : " " + result.code();
      counts.merge(result.outcome() + code, 1, Integer::sum);
    }
    return counts;
  }

  private static void sleepOneSlice() {
    try {
      Thread.sleep(SoakTraffic.SLICE_SECONDS * 1_000L);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted during a soak", e);
    }
  }

  private static String readLog(ClusterNode node) {
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
