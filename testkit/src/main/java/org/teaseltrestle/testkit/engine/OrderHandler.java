package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.testkit.http.Json;

/**
 * Handles the orders to a fake engine: rejects stale fencing numbers, repeats the first response to
 * a duplicate, and applies changes after a delay. Not safe for use by several threads.
 */
final class OrderHandler {

  /**
   * Response to an order.
   *
   * @param status HTTP status
   * @param response body
   * @param effect effect for the record: applied, repeated, refused_stale or refused_busy
   */
  record Outcome(int status, ObjectNode response, String effect) {}

  private final EngineSettings settings;
  private final boolean checksFencing;
  private final Map<String, ObjectNode> responsesByOrderId = new HashMap<>();
  private Role role;
  private String model;
  private Role targetRole;
  private String targetModel;
  private long changeEndsNanos = Long.MIN_VALUE;
  private boolean changing;
  private boolean draining;
  private long highestFencingNumber;
  private String lastOrderId = "";
  private int roleChanges;

  OrderHandler(EngineSettings settings, boolean checksFencing, Role role, String model) {
    this.settings = settings;
    this.checksFencing = checksFencing;
    this.role = role;
    this.model = model;
    this.targetRole = role;
    this.targetModel = model;
  }

  /** Handles an order and returns the response to it. */
  Outcome handle(JsonNode order, long nowNanos) {
    completeDueChange(nowNanos);
    String orderId = order.path("orderId").asText();
    long fencingNumber = order.path("fencingNumber").asLong();
    ObjectNode firstResponse = responsesByOrderId.get(orderId);
    if (firstResponse != null) {
      return new Outcome(200, firstResponse.deepCopy(), "repeated");
    }
    if (checksFencing && fencingNumber < highestFencingNumber) {
      return refusal("stale_fencing_number", "refused_stale");
    }
    if (changing) {
      return refusal("busy", "refused_busy");
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    lastOrderId = orderId;
    apply(order, nowNanos);
    ObjectNode response = state();
    responsesByOrderId.put(orderId, response.deepCopy());
    return new Outcome(200, response, "applied");
  }

  /** Completes the change in progress if its time has passed. */
  void completeDueChange(long nowNanos) {
    if (changing && nowNanos - changeEndsNanos >= 0) {
      changing = false;
      role = targetRole;
      model = targetModel;
    }
  }

  ObjectNode state() {
    ObjectNode state = Json.object();
    state.put("role", changing ? "changing" : role.wireName());
    state.put("targetRole", targetRole.wireName());
    state.put("model", model).put("changing", changing).put("draining", draining);
    state.put("orderId", lastOrderId).put("fencingNumber", highestFencingNumber);
    state.put("roleChanges", roleChanges);
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
        targetRole = Role.of(order.path("role").asText());
        if (targetRole != role) {
          roleChanges++;
          startChange(nowNanos + settings.nanos(settings.roleChangeMillis()));
        }
      }
      case "load_model" -> {
        targetModel = order.path("model").asText(model);
        startChange(nowNanos + settings.nanos(settings.loadModelMillis()));
      }
      case "drain" -> draining = true;
      default -> draining = false;
    }
  }

  private void startChange(long endsNanos) {
    changing = true;
    changeEndsNanos = endsNanos;
  }

  private static Outcome refusal(String code, String effect) {
    ObjectNode response = Json.object();
    response.putObject("error").put("code", code).put("message", code.replace('_', ' '));
    return new Outcome(409, response, effect);
  }
}
