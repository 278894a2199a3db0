package org.teaseltrestle.testkit.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.teaseltrestle.testkit.cluster.LocalCluster;
import org.teaseltrestle.testkit.replay.Replay;
import org.teaseltrestle.testkit.replay.ReplaySettings;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.trace.TraceEntry;
import org.teaseltrestle.testkit.trace.TraceGenerator;
import org.teaseltrestle.testkit.trace.Workload;

/**
 * Sends both users' workloads to all nodes in turn, also to nodes that do not run, over connections
 * that callers keep alive. Requests are sent in slices, so that results can be checked in between.
 */
final class SoakTraffic implements AutoCloseable {

  /** Length of a slice, in seconds; also the time between two checks. */
  static final int SLICE_SECONDS = 5;

  /** Workloads of the co-op, chosen by seed: overload, normal and quickly changing. */
  private static final List<String> COOP_WORKLOADS = List.of("overload", "coop", "flapping");

  private final LocalCluster cluster;
  private final Map<String, String> keys;
  private final long seed;
  private final int workloadIndex;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<CompletableFuture<Void>> slices = new ArrayList<>();
  private final List<RequestResult> results = new ArrayList<>();

  SoakTraffic(LocalCluster cluster, Map<String, String> keys, long seed) {
    this.cluster = cluster;
    this.keys = keys;
    this.seed = seed;
    this.workloadIndex = (int) Math.floorMod(seed, (long) COOP_WORKLOADS.size());
  }

  /** Starts sending the next slice to all nodes, without waiting for it. */
  void startSlice() {
    startSlice(cluster.callerAddresses());
  }

  /** Starts sending the next slice to some nodes, without waiting for it. */
  void startSlice(List<String> callerAddresses) {
    int sliceNumber = slices.size();
    List<TraceEntry> entries = new ArrayList<>();
    for (String workload : List.of(COOP_WORKLOADS.get(workloadIndex), "roletka")) {
      long sliceSeed = seed * 1_000 + sliceNumber;
      TraceGenerator.generate(Workload.named(workload), sliceSeed, SLICE_SECONDS, 1)
          .forEach(entry -> entries.add(entry.withExpectedOutcome(TraceEntry.ANY)));
    }
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    String runName = "soak-" + seed + "-" + sliceNumber;
    Replay replay = new Replay(entries, ReplaySettings.of(runName, callerAddresses, keys));
    slices.add(CompletableFuture.runAsync(() -> addResults(replay.run()), executor));
  }

  /** Waits until every request of all slices has ended. */
  void awaitAll() {
    slices.forEach(CompletableFuture::join);
  }

  /** Returns the results of the slices that have ended so far. */
  synchronized List<RequestResult> results() {
    return List.copyOf(results);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private synchronized void addResults(List<RequestResult> more) {
    results.addAll(more);
  }
}
