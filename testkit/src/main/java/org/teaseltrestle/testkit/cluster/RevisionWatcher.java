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

/** Polls the nodes for their active revision of the lists and records what each one reports. */
public final class RevisionWatcher implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(RevisionWatcher.class);
  private static final long PERIOD_MILLIS = 500;
  private static final long CLOSE_TIMEOUT_SECONDS = 15;

  private final LocalCluster cluster;
  private final String token;
  private final List<RevisionObservation> observations = new ArrayList<>();
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

  /** Starts polling all nodes. */
  public static RevisionWatcher start(LocalCluster cluster) {
    RevisionWatcher watcher = new RevisionWatcher(cluster);
    var unused =
        watcher.timer.scheduleWithFixedDelay(
            watcher::pollAll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    return watcher;
  }

  /** Returns the revisions observed so far, in the order of observation. */
  public synchronized List<RevisionObservation> observations() {
    return List.copyOf(observations);
  }

  /** Requests the status of one node; throws {@code UNREACHABLE} if it does not respond. */
  public static JsonNode status(ClusterNode node, String token) {
    return HttpClients.getJson("http://" + node.operatorAddress() + "/operator/status", token);
  }

  @Override
  public void close() {
    timer.shutdown();
    try {
      if (!timer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        timer.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollAll() {
    for (ClusterNode node : cluster.nodes()) {
      // A stopped or frozen node reports no revision, which is no violation.
      if (cluster.isRunning(node.instance())) {
        poll(node);
      }
    }
  }

  private void poll(ClusterNode node) {
    try {
      JsonNode status = status(node, token);
      if (status.path("ready").asBoolean(false)) {
        addObservation(node, status.path("listsRevision").asLong());
      }
    } catch (TrestleException e) {
      LOG.warn(TestkitEvent.FIGURES_UNREADABLE, "status", node.instance(), "cause", e);
    }
  }

  private synchronized void addObservation(ClusterNode node, long revision) {
    observations.add(
        new RevisionObservation(node.instance(), revision, System.currentTimeMillis()));
  }

  private static String readToken(Path file) {
    try {
      return Files.readString(file).strip();
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be read", e);
    }
  }
}
