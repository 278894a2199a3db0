package org.teaseltrestle.node.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.lists.Plan;

/** JSON bodies of the pages about the instance and of the model list. */
final class InfoPages {

  private static final ObjectMapper JSON = new ObjectMapper();

  private InfoPages() {}

  /** Returns the models of a plan in the format of the models endpoint. */
  static byte[] models(Plan plan) {
    ObjectNode root = JSON.createObjectNode().put("object", "list");
    ArrayNode data = root.putArray("data");
    plan.models().stream()
        .map(ItemName::value)
        .sorted()
        .forEach(
            model ->
                data.addObject()
                    .put("id", model)
                    .put("object", "model")
                    .put("owned_by", "teaseltrestle"));
    return bytes(root);
  }

  /** Returns the body of a health page. */
  static byte[] health(String state) {
    return bytes(JSON.createObjectNode().put("status", state));
  }

  /** Returns the current values of all metrics. */
  static byte[] metrics(MetricRegistry metrics) {
    ObjectNode root = JSON.createObjectNode();
    ObjectNode counters = root.putObject("counters");
    metrics.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
    ObjectNode gauges = root.putObject("gauges");
    metrics.getGauges().forEach((name, gauge) -> gauges.put(name, gaugeText(gauge)));
    ObjectNode meters = root.putObject("meters");
    for (Map.Entry<String, Meter> entry : metrics.getMeters().entrySet()) {
      meters
          .putObject(entry.getKey())
          .put("count", entry.getValue().getCount())
          .put("m1_rate", entry.getValue().getOneMinuteRate());
    }
    ObjectNode histograms = root.putObject("histograms");
    for (Map.Entry<String, Histogram> entry : metrics.getHistograms().entrySet()) {
      snapshot(
          histograms.putObject(entry.getKey()).put("count", entry.getValue().getCount()),
          entry.getValue().getSnapshot());
    }
    ObjectNode timers = root.putObject("timers");
    for (Map.Entry<String, Timer> entry : metrics.getTimers().entrySet()) {
      snapshot(
          timers.putObject(entry.getKey()).put("count", entry.getValue().getCount()),
          entry.getValue().getSnapshot());
    }
    return bytes(root);
  }

  private static String gaugeText(Gauge<?> gauge) {
    return String.valueOf(gauge.getValue());
  }

  private static void snapshot(ObjectNode node, Snapshot values) {
    node.put("p50", values.getMedian());
    node.put("p95", values.get95thPercentile());
    node.put("p99", values.get99thPercentile());
    node.put("max", values.getMax());
  }

  private static byte[] bytes(ObjectNode root) {
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }
}
