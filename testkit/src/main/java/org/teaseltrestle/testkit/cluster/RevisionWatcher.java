package org.teaseltrestle.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.checker.RunEvidence.RevisionObservation;
import org.teaseltrestle.testkit.http.HttpClients;

/** Asks every node for the revision of the lists that it has in force, again and again. */
public final class RevisionWatcher implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(RevisionWatcher.class);
  private static final long PERIOD_MILLIS = 500;
  private static final long END_SECONDS = 15;

  private final LocalCluster cluster;
  private final String token;
  private final List<RevisionObservation> seen = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "revision-watcher");
            thread.setDaemon(true);
            return thread;
          });

  private RevisionWatcher(LocalCluster cluster) {
    this.cluster = cluster;
    this.token = readToken(cluster.tokenFile());
  }

  /** Starts watching all nodes. */
  public static RevisionWatcher start(LocalCluster cluster) {
    RevisionWatcher watcher = new RevisionWatcher(cluster);
    var unused =
        watcher.timer.scheduleWithFixedDelay(
            watcher::askAll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    return watcher;
  }

  /** Returns what was seen so far. */
  public synchronized List<RevisionObservation> seen() {
    return List.copyOf(seen);
  }

  /** Asks one node for its status; throws {@code UNREACHABLE}. */
  public static JsonNode status(ClusterNode node, String token) {
    return HttpClients.getJson("http://" + node.operatorAddress() + "/operator/status", token);
  }

  @Override
  public void close() {
    timer.shutdown();
    try {
      if (!timer.awaitTermination(END_SECONDS, TimeUnit.SECONDS)) {
        timer.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void askAll() {
    for (ClusterNode node : cluster.nodes()) {
      // A stopped or frozen node shows nothing, which is no evidence against it.
      if (cluster.runs(node.instance())) {
        ask(node);
      }
    }
  }

  private void ask(ClusterNode node) {
    try {
      JsonNode status = status(node, token);
      if (status.path("ready").asBoolean(false)) {
        add(node, status.path("listsRevision").asLong());
      }
    } catch (TrestleException e) {
      LOG.warn(TestkitEvent.FIGURES_UNREADABLE, "status", node.instance(), "cause", e);
    }
  }

  private synchronized void add(ClusterNode node, long revision) {
    seen.add(new RevisionObservation(node.instance(), revision, System.currentTimeMillis()));
  }

  private static String readToken(Path file) {
    try {
      return Files.readString(file).strip();
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be read", e);
    }
  }
}
