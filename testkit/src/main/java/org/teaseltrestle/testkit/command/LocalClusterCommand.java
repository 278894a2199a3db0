package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.teaseltrestle.testkit.cluster.ClusterNode;
import org.teaseltrestle.testkit.cluster.ClusterPlan;
import org.teaseltrestle.testkit.cluster.Folders;
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.cluster.PolicyVariant;
import org.teaseltrestle.testkit.cluster.SampleRun;

/** Starts a local cluster, applies the sample lists, replays traces and prints a report. */
@Command(name = "local-cluster", description = "Runs nodes and fakes on loopback")
public final class LocalClusterCommand implements Callable<Integer> {

  @Option(name = "--root", description = "Checkout with the built jars")
  @Required
  private String root = "";

  @Option(name = "--work-folder", description = "Folder for settings, data, logs and reports")
  @Required
  private String workFolder = "";

  @Option(name = "--trace", description = "Trace to replay (repeat for several)")
  private List<String> traces = new ArrayList<>();

  @Option(name = "--time-scale", description = "Factor on the arrival times")
  private double timeScale = 1;

  @Option(name = "--policy", description = "Policy variant, such as baseline")
  private String policy = "adaptive";

  @Option(name = "--keep", description = "Leave everything running until interrupted")
  private boolean keep;

  @Override
  public Integer call() throws InterruptedException {
    Path rootPath = Path.of(root).toAbsolutePath().normalize();
    Path workPath = Path.of(workFolder).toAbsolutePath().normalize();
    Folders.delete(workPath);
    LocalCluster cluster =
        LocalCluster.prepare(
            ClusterPlan.builder(rootPath, workPath)
                .nodeSettings(PolicyVariant.of(policy).nodeSettings())
                .build());
    // The hook also stops the nodes when this process is interrupted before it is done.
    Thread shutdownHook = new Thread(cluster::close);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    cluster.startAll();
    System.out.println("nodes ready: " + String.join(" ", cluster.callerAddresses()));
    SampleRun run = new SampleRun(rootPath, cluster);
    run.prepare();
    List<String> failures =
        traces.isEmpty()
            ? List.of()
            : run.replayAndReport(tracePaths(), timeScale, workPath.resolve("report"));
    printResult(failures, workPath);
    if (keep) {
      printUsageExamples(cluster, run);
      Thread.currentThread().join();
    }
    return failures.isEmpty() ? 0 : 1;
  }

  private List<Path> tracePaths() {
    return traces.stream().map(Path::of).toList();
  }

  private static void printResult(List<String> failures, Path workPath) {
    System.out.println("reports, logs and settings: " + workPath);
    if (failures.isEmpty()) {
      System.out.println("every expectation was met");
      return;
    }
    System.out.println(failures.size() + " expectations or invariants failed");
  }

  private static void printUsageExamples(LocalCluster cluster, SampleRun run) {
    for (ClusterNode node : cluster.nodes()) {
      System.out.printf(
          "%s in %s: callers %s, operators %s, pid %d%n",
          node.instance(),
          node.failureDomain(),
          node.callerAddress(),
          node.operatorAddress(),
          cluster.process(node.instance()).pid());
    }
    ClusterNode first = cluster.nodes().get(0);
    String key = run.keys().getOrDefault("yard-north", "KEY");
    System.out.printf(
        """
        fakes: %s

        A model request, a service request with an idempotency key, and the status of the cluster:
          curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\
            -d '{"model":"pren-7b","max_tokens":9,"messages":[{"role":"user","content":"lot 118"}]}'
          curl -s http://%s/services/iard/holds -H 'Authorization: Bearer %s' \\
            -H 'Idempotency-Key: hold-1' -d '{"lot": 118}'
          bin/teaseltrestle status --operator-address %s --token-file %s
        Interrupt this process to stop everything.
        """,
        cluster.fleetFile(),
        first.callerAddress(),
        key,
        first.callerAddress(),
        key,
        first.operatorAddress(),
        cluster.tokenFile());
  }
}
