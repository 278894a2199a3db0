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

/** Reads the counters of refusals and retries from the nodes' {@code /metrics}. */
public final class NodeMetrics {

  private static final EventLog LOG = EventLog.of(NodeMetrics.class);

  private NodeMetrics() {}

  /**
   * Returns each {@code refusal.*} and {@code retry.*} counter, summed over the nodes. A node that
   * cannot be read is logged and left out.
   */
  public static Map<String, Long> read(List<String> entryAddresses) {
    Map<String, Long> counters = new TreeMap<>();
    for (String entryAddress : entryAddresses) {
      try {
        collect(HttpClients.getJson("http://" + entryAddress + "/metrics"), counters);
      } catch (TrestleException e) {
        LOG.warn(TestkitEvent.FIGURES_UNREADABLE, "metrics", entryAddress, "cause", e);
      }
    }
    return counters;
  }

  /** Returns the counters that changed between two readings, with the differences. */
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

  /** Adds the counters found at any depth, as numbers or as objects with a {@code count}. */
  static void collect(JsonNode node, Map<String, Long> counters) {
    for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      JsonNode value = field.getValue();
      boolean selected =
          field.getKey().startsWith("refusal.") || field.getKey().startsWith("retry.");
      if (selected) {
        long count = value.isNumber() ? value.asLong() : value.path("count").asLong();
        counters.merge(field.getKey(), count, Long::sum);
      } else if (value.isObject()) {
        collect(value, counters);
      }
    }
  }
}
