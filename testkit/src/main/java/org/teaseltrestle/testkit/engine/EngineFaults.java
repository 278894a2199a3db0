package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.teaseltrestle.testkit.http.Json;

/**
 * Faults asked for through {@code POST /fake/faults}; a count applies to that many next requests.
 * Fields of the body: {@code refuse}, {@code crossed}, {@code cut}, {@code repeat}, {@code mute}
 * (counts), {@code cutAfterTokens} (tokens written before a cut, default 3), {@code slowFactor} (on
 * the time of each step), {@code crashed} (all connections break).
 */
final class EngineFaults {

  private static final int DEFAULT_CUT_TOKENS = 3;

  /** What happens to one answer. */
  enum AnswerFault {
    NONE,
    REFUSE,
    CROSSED,
    CUT,
    REPEAT,
    MUTE
  }

  private final Map<AnswerFault, Integer> counts = new EnumMap<>(AnswerFault.class);
  private int cutAfterTokens = DEFAULT_CUT_TOKENS;
  private double slowFactor = 1;
  private boolean crashed;

  synchronized void set(JsonNode body) {
    for (AnswerFault fault : AnswerFault.values()) {
      String field = fault.name().toLowerCase(Locale.ROOT);
      counts.put(fault, body.path(field).asInt(counts.getOrDefault(fault, 0)));
    }
    cutAfterTokens = body.path("cutAfterTokens").asInt(cutAfterTokens);
    slowFactor = body.path("slowFactor").asDouble(slowFactor);
    crashed = body.path("crashed").asBoolean(crashed);
  }

  /** Takes the fault of the next answer. */
  synchronized AnswerFault next() {
    for (AnswerFault fault : AnswerFault.values()) {
      int left = counts.getOrDefault(fault, 0);
      if (left > 0) {
        counts.put(fault, left - 1);
        return fault;
      }
    }
    return AnswerFault.NONE;
  }

  synchronized int cutAfterTokens() {
    return cutAfterTokens;
  }

  synchronized double slowFactor() {
    return slowFactor;
  }

  synchronized boolean crashed() {
    return crashed;
  }

  synchronized ObjectNode state() {
    ObjectNode state = Json.object();
    state.put("cutAfterTokens", cutAfterTokens).put("slowFactor", slowFactor);
    return state.put("crashed", crashed);
  }
}
