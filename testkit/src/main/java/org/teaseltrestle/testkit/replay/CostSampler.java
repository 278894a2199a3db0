package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.http.HttpClients;

/**
 * Sums the seconds for which backend servers are listed, by capacity kind, while a replay runs. A
 * sample that fails is logged and counts nothing.
 */
public final class CostSampler implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(CostSampler.class);
  private static final long PERIOD_MILLIS = 500;
  private static final double MILLIS_PER_SECOND = 1000;

  private final String platformAddress;
  private final Map<String, Double> secondsByCapacity = new TreeMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "cost-sampler");
            thread.setDaemon(true);
            return thread;
          });

  private CostSampler(String platformAddress) {
    this.platformAddress = platformAddress;
  }

  /** Starts sampling the platform's instance list, given its {@code host:port}. */
  public static CostSampler start(String platformAddress) {
    CostSampler sampler = new CostSampler(platformAddress);
    var unused =
        sampler.timer.scheduleAtFixedRate(
            sampler::sample, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    return sampler;
  }

  /** Returns the server seconds so far, by capacity kind. */
  public synchronized Map<String, Double> serverSeconds() {
    return new TreeMap<>(secondsByCapacity);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void sample() {
    try {
      JsonNode list = HttpClients.getJson("http://" + platformAddress + "/instances");
      synchronized (this) {
        for (JsonNode instance : list.path("instances")) {
          String capacity = instance.path("capacity").asText("regular");
          secondsByCapacity.merge(capacity, PERIOD_MILLIS / MILLIS_PER_SECOND, Double::sum);
        }
      }
    } catch (TrestleException e) {
      LOG.warn(TestkitEvent.FIGURES_UNREADABLE, "instances", platformAddress, "cause", e);
    }
  }
}
