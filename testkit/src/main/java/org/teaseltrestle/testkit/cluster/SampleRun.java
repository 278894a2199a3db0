package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.checker.InvariantChecker;
import org.teaseltrestle.testkit.checker.Observations;
import org.teaseltrestle.testkit.checker.RunEvidence;
import org.teaseltrestle.testkit.checker.Violation;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.replay.Replay;
import org.teaseltrestle.testkit.replay.ReplayRun;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.ReportText;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.teaseltrestle.testkit.trace.TraceFile;
import org.teaseltrestle.testkit.trace.TraceMaker;
import org.teaseltrestle.testkit.trace.Workload;

/** Sample lists, keys and traces on a local cluster. */
public final class SampleRun {

  private static final String ACCOUNTS = "samples/accounts.json";
  private static final String PLANS = "samples/plans.json";
  private static final long WARM_UP_SEED = 900;
  private static final double WARM_UP_SECONDS = 8;

  private final Path root;
  private final LocalCluster cluster;
  private final Operators operators;
  private Map<String, String> keys = Map.of();
  private long acceptedMillis;
  private long acceptedRevision;

  /** Creates a run on a started cluster. */
  public SampleRun(Path root, LocalCluster cluster) {
    this.root = root;
    this.cluster = cluster;
    List<String> addresses = cluster.nodes().stream().map(ClusterNode::operatorAddress).toList();
    this.operators = new Operators(root, cluster.tokenFile(), addresses);
  }

  /** Returns the operators. */
  public Operators operators() {
    return operators;
  }

  /** Returns the key of each client account. */
  public Map<String, String> keys() {
    return Map.copyOf(keys);
  }

  /** Applies the sample lists and issues a key for each account. */
  public void prepare() {
    Operators.Answer applied =
        operators.mustRun(
            "apply",
            "--json",
            "--wait",
            root.resolve(ACCOUNTS).toString(),
            root.resolve(PLANS).toString());
    acceptedMillis = System.currentTimeMillis();
    acceptedRevision = Json.parse(applied.output()).path("listsRevision").asLong();
    keys = operators.issueKeys(accounts());
    writeKeys();
  }

  /**
   * Sends requests of both users' kinds that are not measured: in the first seconds after their
   * start, the nodes' code is still being compiled and most deadlines are missed.
   */
  public void warmUp() {
    List<TraceEntry> entries = new ArrayList<>();
    for (String kind : List.of("coop", "roletka")) {
      TraceMaker.make(Workload.named(kind), WARM_UP_SEED, WARM_UP_SECONDS, 1)
          .forEach(entry -> entries.add(entry.expecting(TraceEntry.ANY)));
    }
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    new Replay(entries, ReplaySettings.of("warm", cluster.callerAddresses(), keys)).run();
  }

  /** Replays traces together and returns what was measured. */
  public ReplayRun replay(List<Path> traces, double timeScale) {
    List<TraceEntry> entries = new ArrayList<>();
    traces.forEach(trace -> entries.addAll(TraceFile.read(trace)));
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    ReplaySettings settings = ReplaySettings.of("run", cluster.callerAddresses(), keys);
    return ReplayRun.run(entries, settings.withTimeScale(timeScale), cluster.fakes().fleet());
  }

  /** Returns the evidence of a run without injected faults. */
  public RunEvidence.Builder evidence(ReplayRun run, RevisionWatcher watcher) {
    RunEvidence.Builder evidence = RunEvidence.builder(cluster.fakes().records());
    evidence.results(run.results()).faults(RunEvidence.Faults.PLANNED_ONLY).keys(keys.values());
    if (acceptedRevision > 0) {
      evidence.acceptedRevision(acceptedRevision, acceptedMillis);
    }
    watcher.seen().forEach(evidence::observedRevision);
    for (ClusterNode node : cluster.nodes()) {
      evidence.log(node.instance(), readLog(node));
    }
    return evidence;
  }

  /** Replays, prints the report and the checker's findings, and returns what failed. */
  public List<String> replayAndReport(List<Path> traces, double timeScale, Path folder) {
    List<String> failures = new ArrayList<>();
    warmUp();
    try (RevisionWatcher watcher = RevisionWatcher.start(cluster)) {
      ReplayRun run = replay(traces, timeScale);
      run.write(folder);
      System.out.print(ReportText.of(run.report()));
      failures.addAll(run.report().failures());
      RunEvidence evidence = evidence(run, watcher).build();
      List<Violation> violations = InvariantChecker.check(evidence);
      System.out.println("violated invariants " + violations.size());
      System.out.println("observations for each line: " + Observations.text(evidence));
      for (Violation violation : violations) {
        System.out.println("  " + violation);
        failures.add("invariant " + violation);
      }
    }
    return failures;
  }

  private List<String> accounts() {
    List<String> accounts = new ArrayList<>();
    JsonNode file = Json.read(root.resolve(ACCOUNTS), JsonNode.class);
    file.path("accounts").forEach(entry -> accounts.add(entry.path("account").asText()));
    return accounts;
  }

  private void writeKeys() {
    Path file = cluster.fleetFile().resolveSibling("keys.json");
    try {
      Files.writeString(file, Json.text(keys) + "\n");
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
  }

  private static String readLog(ClusterNode node) {
    try {
      return Files.exists(node.logFile())
          ? new String(Files.readAllBytes(node.logFile()), StandardCharsets.UTF_8)
          : "";
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, node.logFile() + " cannot be read", e);
    }
  }
}
