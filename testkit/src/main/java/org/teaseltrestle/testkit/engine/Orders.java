package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.testkit.http.Json;

/** Order handling of a fake engine: fencing, repeats, and changes that take seconds. */
final class Orders {

  /** Answer to an order and what happened. */
  record Outcome(int status, ObjectNode answer, String effect) {}

  private final EngineSettings settings;
  private final boolean checksFencing;
  private final Map<String, ObjectNode> answers = new HashMap<>();
  private Role role;
  private String model;
  private Role nextRole;
  private String nextModel;
  private long changeEndsNanos = Long.MIN_VALUE;
  private boolean changing;
  private boolean draining;
  private long highestFencing;
  private String lastOrderId = "";
  private int changes;

  Orders(EngineSettings settings, boolean checksFencing, Role role, String model) {
    this.settings = settings;
    this.checksFencing = checksFencing;
    this.role = role;
    this.model = model;
    this.nextRole = role;
    this.nextModel = model;
  }

  /** Handles an order. */
  Outcome handle(JsonNode order, long nowNanos) {
    advance(nowNanos);
    String orderId = order.path("orderId").asText();
    long fencing = order.path("fencingNumber").asLong();
    ObjectNode first = answers.get(orderId);
    if (first != null) {
      return new Outcome(200, first.deepCopy(), "repeated");
    }
    if (checksFencing && fencing < highestFencing) {
      return refusal("stale_fencing_number", "refused_stale");
    }
    if (changing) {
      return refusal("busy", "refused_busy");
    }
    highestFencing = Math.max(highestFencing, fencing);
    lastOrderId = orderId;
    apply(order, nowNanos);
    ObjectNode answer = state();
    answers.put(orderId, answer.deepCopy());
    return new Outcome(200, answer, "applied");
  }

  /** Ends a change whose time has passed. */
  void advance(long nowNanos) {
    if (changing && nowNanos - changeEndsNanos >= 0) {
      changing = false;
      role = nextRole;
      model = nextModel;
    }
  }

  ObjectNode state() {
    ObjectNode state = Json.object();
    state.put("role", changing ? "changing" : role.wireName());
    state.put("targetRole", nextRole.wireName());
    state.put("model", model).put("changing", changing).put("draining", draining);
    state.put("orderId", lastOrderId).put("fencingNumber", highestFencing);
    state.put("roleChanges", changes);
    return state;
  }

  Role role() {
    return role;
  }

  String model() {
    return model;
  }

  boolean changing() {
    return changing;
  }

  boolean draining() {
    return draining;
  }

  private void apply(JsonNode order, long nowNanos) {
    switch (order.path("kind").asText()) {
      case "set_role" -> {
        nextRole = Role.of(order.path("role").asText());
        if (nextRole != role) {
          changes++;
          begin(nowNanos + settings.nanos(settings.roleChangeMillis()));
        }
      }
      case "load_model" -> {
        nextModel = order.path("model").asText(model);
        begin(nowNanos + settings.nanos(settings.loadModelMillis()));
      }
      case "drain" -> draining = true;
      default -> draining = false;
    }
  }

  private void begin(long endsNanos) {
    changing = true;
    changeEndsNanos = endsNanos;
  }

  private static Outcome refusal(String code, String effect) {
    ObjectNode answer = Json.object();
    answer.putObject("error").put("code", code).put("message", code.replace('_', ' '));
    return new Outcome(409, answer, effect);
  }
}
