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
import org.teaseltrestle.testkit.trace.TraceMaker;
import org.teaseltrestle.testkit.trace.Workload;

/**
 * Requests of both users' kinds to all nodes in turn, whether these run or not, over connections
 * that callers keep open. They are sent in slices, so that results can be checked meanwhile.
 */
final class SoakTraffic implements AutoCloseable {

  /** Length of a slice, in seconds; also the time between two checks. */
  static final int SLICE_SECONDS = 5;

  /** Loads of the co-op, by seed: heavy, usual and quickly changing. */
  private static final List<String> CO_OP_LOADS = List.of("overload", "coop", "flapping");

  private final LocalCluster cluster;
  private final Map<String, String> keys;
  private final long seed;
  private final int load;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<CompletableFuture<Void>> slices = new ArrayList<>();
  private final List<RequestResult> results = new ArrayList<>();

  SoakTraffic(LocalCluster cluster, Map<String, String> keys, long seed) {
    this.cluster = cluster;
    this.keys = keys;
    this.seed = seed;
    this.load = (int) Math.floorMod(seed, (long) CO_OP_LOADS.size());
  }

  /** Starts the next slice to all nodes. */
  void startSlice() {
    startSlice(cluster.callerAddresses());
  }

  /** Starts the next slice to some nodes. */
  void startSlice(List<String> callerAddresses) {
    int number = slices.size();
    List<TraceEntry> entries = new ArrayList<>();
    for (String kind : List.of(CO_OP_LOADS.get(load), "roletka")) {
      long sliceSeed = seed * 1_000 + number;
      TraceMaker.make(Workload.named(kind), sliceSeed, SLICE_SECONDS, 1)
          .forEach(entry -> entries.add(entry.expecting(TraceEntry.ANY)));
    }
    entries.sort(Comparator.comparingLong(TraceEntry::atMillis));
    String run = "soak-" + seed + "-" + number;
    Replay replay = new Replay(entries, ReplaySettings.of(run, callerAddresses, keys));
    slices.add(CompletableFuture.runAsync(() -> add(replay.run()), executor));
  }

  /** Waits for the answers to everything that was sent. */
  void awaitAll() {
    slices.forEach(CompletableFuture::join);
  }

  /** Returns the results that are known so far. */
  synchronized List<RequestResult> results() {
    return List.copyOf(results);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private synchronized void add(List<RequestResult> more) {
    results.addAll(more);
  }
}
