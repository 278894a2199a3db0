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
import org.teaseltrestle.testkit.trace.TraceGenerator;
import org.teaseltrestle.testkit.trace.Workload;

/** Applies the sample lists, issues keys and replays traces on a local cluster. */
public final class SampleRun {

  private static final String ACCOUNTS = "samples/accounts.json";
  private static final String PLANS = "samples/plans.json";
  private static final long WARM_UP_SEED = 900;
  private static final double WARM_UP_SECONDS = 8;

  private final Path root;
  private final LocalCluster cluster;
  private final CommandLineRunner commandLine;
  private Map<String, String> keys = Map.of();
  private long acceptedMillis;
  private long acceptedRevision;

  /** Creates a run on a started cluster. */
  public SampleRun(Path root, LocalCluster cluster) {
    this.root = root;
    this.cluster = cluster;
    List<String> addresses = cluster.nodes().stream().map(ClusterNode::operatorAddress).toList();
    this.commandLine = new CommandLineRunner(root, cluster.tokenFile(), addresses);
  }

  /** Returns the runner of the operators' commands. */
  public CommandLineRunner commandLine() {
    return commandLine;
  }

  /** Returns the keys by client account; empty before {@link #prepare}. */
  public Map<String, String> keys() {
    return Map.copyOf(keys);
  }

  /** Applies the sample lists and issues a key for each account. */
  public void prepare() {
    CommandLineRunner.Result applied =
        commandLine.runOrThrow(
            "apply",
            "--json",
            "--wait",
            root.resolve(ACCOUNTS).toString(),
            root.resolve(PLANS).toString());
    acceptedMillis = System.currentTimeMillis();
    acceptedRevision = Json.parse(applied.output()).path("listsRevision").asLong();
    keys = commandLine.issueKeys(accountNames());
    writeKeysFile();
  }

  /**
   * Sends requests of both users' workloads that are not measured. In the first seconds after their
   * start the nodes' code is still being compiled, and most deadlines would be missed.
   */
  public void warmUp() {
    List<TraceEntry> entries = new ArrayList<>();
    for (String kind : List.of("coop", "roletka")) {
      TraceGenerator.generate(Workload.named(kind), WARM_UP_SEED, WARM_UP_SECONDS, 1)
          .forEach(entry -> entries.add(entry.withExpectedOutcome(TraceEntry.ANY)));
    }
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    new Replay(entries, ReplaySettings.of("warm", cluster.callerAddresses(), keys)).run();
  }

  /** Replays traces at the same time and returns the measurements. */
  public ReplayRun replay(List<Path> traces, double timeScale) {
    List<TraceEntry> entries = new ArrayList<>();
    traces.forEach(trace -> entries.addAll(TraceFile.read(trace)));
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    ReplaySettings settings = ReplaySettings.of("run", cluster.callerAddresses(), keys);
    return ReplayRun.run(entries, settings.withTimeScale(timeScale), cluster.fakes().fleet());
  }

  /** Returns evidence of a run without injected faults, to which more can be added. */
  public RunEvidence.Builder evidence(ReplayRun run, RevisionWatcher watcher) {
    RunEvidence.Builder evidence = RunEvidence.builder(cluster.fakes().records());
    evidence.results(run.results()).faults(RunEvidence.Faults.PLANNED_ONLY).keys(keys.values());
    if (acceptedRevision > 0) {
      evidence.acceptedRevision(acceptedRevision, acceptedMillis);
    }
    watcher.observations().forEach(evidence::observedRevision);
    for (ClusterNode node : cluster.nodes()) {
      evidence.log(node.instance(), readLog(node));
    }
    return evidence;
  }

  /** Replays traces, prints the report and the violations, and returns all failures. */
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
      System.out.println("observations of each invariant: " + Observations.text(evidence));
      for (Violation violation : violations) {
        System.out.println("  " + violation);
        failures.add("invariant " + violation);
      }
    }
    return failures;
  }

  private List<String> accountNames() {
    List<String> accountNames = new ArrayList<>();
    JsonNode file = Json.read(root.resolve(ACCOUNTS), JsonNode.class);
    file.path("accounts").forEach(entry -> accountNames.add(entry.path("account").asText()));
    return accountNames;
  }

  private void writeKeysFile() {
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
