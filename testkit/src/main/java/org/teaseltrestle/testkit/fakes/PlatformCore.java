package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.Json;

/** State of the fake platform: what is listed when, orders, usage windows, fetches of weights. */
final class PlatformCore {

  private static final long MILLIS_PER_SECOND = 1000;

  /** A change of the list that is not visible yet, or not due yet. */
  private record Due(long atMillis, Runnable change) {}

  private final PlatformSettings settings;
  private final Map<String, ObjectNode> instances = new LinkedHashMap<>();
  private final Map<String, String> entryInstances = new LinkedHashMap<>();
  private final List<ObjectNode> prepared = new ArrayList<>();
  private final Map<String, ObjectNode> orders = new HashMap<>();
  private final Map<String, JsonNode> windows = new HashMap<>();
  private final List<Due> due = new ArrayList<>();
  private final Deque<Long> fetches = new ArrayDeque<>();

  PlatformCore(FleetFile fleet, PlatformSettings settings) {
    this.settings = settings;
    for (FleetFile.Engine engine : fleet.engines()) {
      add(describe(engine), engine.prepared());
    }
    for (FleetFile.Service service : fleet.services()) {
      add(describe(service), service.prepared());
    }
    fleet.entryInstances().forEach(id -> entryInstances.put(id, "live"));
  }

  /** Returns the instance list. */
  synchronized ObjectNode instances(long now) {
    applyDue(now);
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("instances");
    instances.values().forEach(list::add);
    return answer;
  }

  /** Returns the list of entry instances. */
  synchronized ObjectNode entryInstances(long now) {
    applyDue(now);
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("instances");
    entryInstances.forEach((id, state) -> list.addObject().put("id", id).put("state", state));
    return answer;
  }

  /** Lists an instance after the lag. */
  synchronized void addInstance(ObjectNode instance, long now) {
    String id = instance.path("id").asText();
    later(now + settings.listLagMillis(), () -> instances.put(id, instance));
  }

  /** Sets an instance's state after the lag; {@code gone} takes it off the list. */
  synchronized void setState(String id, String state, long now) {
    later(now + settings.listLagMillis(), () -> showState(id, state));
  }

  /** Sets an entry instance's state after the lag. */
  synchronized void setEntryInstance(String id, String state, long now) {
    later(now + settings.listLagMillis(), () -> entryInstances.put(id, state));
  }

  /** Handles an order; a repeated order id gets the first answer. */
  synchronized ObjectNode order(JsonNode order, long now) {
    String orderId = order.path("orderId").asText();
    if (orderId.isEmpty()) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "order without orderId");
    }
    ObjectNode first = orders.get(orderId);
    if (first != null) {
      return first.deepCopy().put("repeated", true);
    }
    ObjectNode answer = Json.object().put("orderId", orderId).put("state", "accepted");
    ArrayNode ids = answer.putArray("instances");
    if (order.has("release")) {
      ids.add(release(order.path("release").asText(), now));
    } else {
      buy(order, now).forEach(ids::add);
    }
    orders.put(orderId, answer);
    return answer.deepCopy();
  }

  /** Takes a usage report and returns whether its figures differ from those of the first send. */
  synchronized String usage(JsonNode report) {
    String window = report.path("windowId").asText();
    JsonNode first = windows.putIfAbsent(window, report.path("figures"));
    return first == null ? "first" : first.equals(report.path("figures")) ? "same" : "different";
  }

  /** Returns whether the weight store allows another fetch now. */
  synchronized boolean allowFetch(long now) {
    while (!fetches.isEmpty() && fetches.getFirst() <= now - MILLIS_PER_SECOND) {
      fetches.removeFirst();
    }
    if (fetches.size() >= settings.weightRequestsPerSecond()) {
      return false;
    }
    fetches.addLast(now);
    return true;
  }

  private List<String> buy(JsonNode order, long now) {
    List<String> bought = new ArrayList<>();
    int count = order.path("count").asInt(1);
    for (ObjectNode candidate : List.copyOf(prepared)) {
      if (bought.size() < count && matches(candidate, order)) {
        prepared.remove(candidate);
        String id = candidate.path("id").asText();
        candidate.put("capacity", order.path("capacity").asText("regular"));
        bought.add(id);
        long listed = now + settings.purchaseDelayMillis() + settings.listLagMillis();
        later(listed, () -> instances.put(id, candidate));
      }
    }
    return bought;
  }

  private static boolean matches(JsonNode candidate, JsonNode order) {
    String domain = order.path("failureDomain").asText("");
    return candidate.path("pool").asText().equals(order.path("pool").asText())
        && (domain.isEmpty() || candidate.path("failureDomain").asText().equals(domain));
  }

  private String release(String id, long now) {
    long leaves = now + settings.listLagMillis();
    later(leaves, () -> showState(id, "leaving"));
    later(leaves + settings.releaseDelayMillis(), () -> showState(id, "gone"));
    return id;
  }

  private void showState(String id, String state) {
    ObjectNode instance = instances.get(id);
    if (instance != null && state.equals("gone")) {
      instances.remove(id);
    } else if (instance != null) {
      instance.put("state", state);
    }
  }

  private void later(long atMillis, Runnable change) {
    due.add(new Due(atMillis, change));
  }

  private void applyDue(long now) {
    for (Due next : List.copyOf(due)) {
      if (next.atMillis() <= now) {
        due.remove(next);
        next.change().run();
      }
    }
  }

  private void add(ObjectNode instance, boolean isPrepared) {
    if (isPrepared) {
      prepared.add(instance);
    } else {
      instances.put(instance.path("id").asText(), instance);
    }
  }

  private static ObjectNode describe(FleetFile.Engine engine) {
    ObjectNode instance =
        frame(engine.id(), engine.pool(), engine.failureDomain(), engine.address(), "engine");
    instance.put("capacity", engine.capacity()).put("checksFencing", engine.checksFencing());
    instance.putArray("models").add(engine.model());
    return instance.put("role", engine.role());
  }

  private static ObjectNode describe(FleetFile.Service service) {
    ObjectNode instance =
        frame(service.id(), service.pool(), service.failureDomain(), service.address(), "service");
    return instance.put("capacity", service.capacity()).put("checksFencing", false);
  }

  private static ObjectNode frame(
      String id, String pool, String failureDomain, String address, String kind) {
    ObjectNode instance = Json.object().put("id", id).put("pool", pool);
    instance.put("failureDomain", failureDomain).put("address", "http://" + address);
    return instance.put("kind", kind).put("state", "live");
  }
}
