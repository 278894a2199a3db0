package org.teaseltrestle.testkit.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.http.HttpClients;

/** Sums the counters of refusals and retries over the nodes' {@code /metrics}. */
public final class NodeMetrics {

  private static final EventLog LOG = EventLog.of(NodeMetrics.class);

  private NodeMetrics() {}

  /** Returns each {@code refusal.*} and {@code retry.*} counter, summed over the nodes. */
  public static Map<String, Long> read(List<String> entries) {
    Map<String, Long> counters = new TreeMap<>();
    for (String entry : entries) {
      try {
        collect(HttpClients.getJson("http://" + entry + "/metrics"), counters);
      } catch (TrestleException e) {
        LOG.warn(TestkitEvent.FIGURES_UNREADABLE, "metrics", entry, "cause", e);
      }
    }
    return counters;
  }

  /** Returns what was added between two readings. */
  public static Map<String, Long> difference(Map<String, Long> before, Map<String, Long> after) {
    Map<String, Long> difference = new TreeMap<>();
    after.forEach(
        (name, count) -> {
          long added = count - before.getOrDefault(name, 0L);
          if (added != 0) {
            difference.put(name, added);
          }
        });
    return difference;
  }

  /** Accepts counters at any depth, as plain numbers or as objects with a {@code count}. */
  static void collect(JsonNode node, Map<String, Long> counters) {
    for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      JsonNode value = field.getValue();
      boolean named = field.getKey().startsWith("refusal.") || field.getKey().startsWith("retry.");
      if (named) {
        long count = value.isNumber() ? value.asLong() : value.path("count").asLong();
        counters.merge(field.getKey(), count, Long::sum);
      } else if (value.isObject()) {
        collect(value, counters);
      }
    }
  }
}
