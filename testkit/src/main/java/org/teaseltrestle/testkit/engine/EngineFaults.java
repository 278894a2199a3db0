package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.teaseltrestle.testkit.http.Json;

/**
 * Faults injected through {@code POST /fake/faults}. Fields of the body, all optional:
 *
 * <ul>
 *   <li>{@code refuse}, {@code crossed}, {@code cut}, {@code repeat}, {@code mute}: how many of the
 *       next requests get the {@link AnswerFault} of this name
 *   <li>{@code cutAfterTokens}: tokens sent before a stream is truncated, or before the token that
 *       is sent twice; 3 by default
 *   <li>{@code slowFactor}: factor on the duration of each step
 *   <li>{@code crashingText}: prompts that contain it end every request of the engine, which then
 *       starts anew; empty for none
 *   <li>{@code crashed}: whether every connection is closed without a response
 * </ul>
 */
final class EngineFaults {

  private static final int DEFAULT_CUT_AFTER_TOKENS = 3;

  /** Fault of one response. */
  enum AnswerFault {
    NONE,
    /** Status 503 in place of the response. */
    REFUSE,
    /** The response has the ID and the output of another request. */
    CROSSED,
    /** The connection closes in the middle of the response. */
    CUT,
    /** One token of a stream is sent twice. */
    REPEAT,
    /** A stream has no tokens and ends with a closed connection. */
    MUTE
  }

  private final Map<AnswerFault, Integer> remainingCounts = new EnumMap<>(AnswerFault.class);
  private int cutAfterTokens = DEFAULT_CUT_AFTER_TOKENS;
  private double slowFactor = 1;
  private boolean crashed;
  private String crashingText = "";

  synchronized void update(JsonNode body) {
    for (AnswerFault fault : AnswerFault.values()) {
      String field = fault.name().toLowerCase(Locale.ROOT);
      remainingCounts.put(fault, body.path(field).asInt(remainingCounts.getOrDefault(fault, 0)));
    }
    cutAfterTokens = body.path("cutAfterTokens").asInt(cutAfterTokens);
    slowFactor = body.path("slowFactor").asDouble(slowFactor);
    crashed = body.path("crashed").asBoolean(crashed);
    crashingText = body.path("crashingText").asText(crashingText);
  }

  /** Returns the fault of the next response and decreases the count of that fault. */
  synchronized AnswerFault takeFault() {
    for (AnswerFault fault : AnswerFault.values()) {
      int remaining = remainingCounts.getOrDefault(fault, 0);
      if (remaining > 0) {
        remainingCounts.put(fault, remaining - 1);
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

  synchronized boolean crashesOn(String prompt) {
    return !crashingText.isEmpty() && prompt.contains(crashingText);
  }

  synchronized ObjectNode state() {
    ObjectNode state = Json.object();
    state.put("cutAfterTokens", cutAfterTokens).put("slowFactor", slowFactor);
    return state.put("crashed", crashed);
  }
}
