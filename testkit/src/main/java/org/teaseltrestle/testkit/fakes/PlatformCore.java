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

/** State of the fake platform: instance lists, orders, usage windows and fetches of weights. */
final class PlatformCore {

  private static final long MILLIS_PER_SECOND = 1000;

  /** A change of the instance lists that takes effect at a later time. */
  private record ScheduledChange(long atMillis, Runnable change) {}

  private final PlatformSettings settings;
  private final Map<String, ObjectNode> instances = new LinkedHashMap<>();
  private final Map<String, String> entryInstances = new LinkedHashMap<>();
  private final List<ObjectNode> prepared = new ArrayList<>();
  private final Map<String, ObjectNode> orders = new HashMap<>();
  private final Map<String, JsonNode> windows = new HashMap<>();
  private final List<ScheduledChange> scheduledChanges = new ArrayList<>();
  private final Deque<Long> fetchTimes = new ArrayDeque<>();

  PlatformCore(FleetFile fleet, PlatformSettings settings) {
    this.settings = settings;
    for (FleetFile.Engine engine : fleet.engines()) {
      addInitial(toInstance(engine), engine.prepared());
    }
    for (FleetFile.Service service : fleet.services()) {
      addInitial(toInstance(service), service.prepared());
    }
    fleet.entryInstances().forEach(id -> entryInstances.put(id, "live"));
  }

  /** Returns the list of backend servers. */
  synchronized ObjectNode instances(long nowMillis) {
    applyDueChanges(nowMillis);
    ObjectNode response = Json.object();
    ArrayNode list = response.putArray("instances");
    instances.values().forEach(list::add);
    return response;
  }

  /** Returns the list of entry instances. */
  synchronized ObjectNode entryInstances(long nowMillis) {
    applyDueChanges(nowMillis);
    ObjectNode response = Json.object();
    ArrayNode list = response.putArray("instances");
    entryInstances.forEach((id, state) -> list.addObject().put("id", id).put("state", state));
    return response;
  }

  /** Adds a backend server to the list after the lag. */
  synchronized void addInstance(ObjectNode instance, long nowMillis) {
    String id = instance.path("id").asText();
    schedule(nowMillis + settings.listLagMillis(), () -> instances.put(id, instance));
  }

  /** Sets a backend server's state after the lag; {@code gone} removes it from the list. */
  synchronized void setState(String id, String state, long nowMillis) {
    schedule(nowMillis + settings.listLagMillis(), () -> applyState(id, state));
  }

  /** Sets an entry instance's state after the lag. */
  synchronized void setEntryInstance(String id, String state, long nowMillis) {
    schedule(nowMillis + settings.listLagMillis(), () -> entryInstances.put(id, state));
  }

  /** Handles an order; a duplicate gets the first response, marked {@code repeated}. */
  synchronized ObjectNode order(JsonNode order, long nowMillis) {
    String orderId = order.path("orderId").asText();
    if (orderId.isEmpty()) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "order without orderId");
    }
    ObjectNode first = orders.get(orderId);
    if (first != null) {
      return first.deepCopy().put("repeated", true);
    }
    ObjectNode response = Json.object().put("orderId", orderId).put("state", "accepted");
    ArrayNode ids = response.putArray("instances");
    if (order.has("release")) {
      ids.add(release(order.path("release").asText(), nowMillis));
    } else {
      purchase(order, nowMillis).forEach(ids::add);
    }
    orders.put(orderId, response);
    return response.deepCopy();
  }

  /**
   * Accepts a usage report and returns how its figures compare to the first report of the window:
   * {@code first}, {@code same} or {@code different}.
   */
  synchronized String usage(JsonNode report) {
    String window = report.path("windowId").asText();
    JsonNode first = windows.putIfAbsent(window, report.path("figures"));
    return first == null ? "first" : first.equals(report.path("figures")) ? "same" : "different";
  }

  /** Counts a fetch from the weight store and returns true, or false above the rate limit. */
  synchronized boolean tryFetchWeights(long nowMillis) {
    while (!fetchTimes.isEmpty() && fetchTimes.getFirst() <= nowMillis - MILLIS_PER_SECOND) {
      fetchTimes.removeFirst();
    }
    if (fetchTimes.size() >= settings.weightRequestsPerSecond()) {
      return false;
    }
    fetchTimes.addLast(nowMillis);
    return true;
  }

  private List<String> purchase(JsonNode order, long nowMillis) {
    List<String> purchasedIds = new ArrayList<>();
    int count = order.path("count").asInt(1);
    for (ObjectNode candidate : List.copyOf(prepared)) {
      if (purchasedIds.size() < count && matches(candidate, order)) {
        prepared.remove(candidate);
        String id = candidate.path("id").asText();
        candidate.put("capacity", order.path("capacity").asText("regular"));
        purchasedIds.add(id);
        long listedAtMillis = nowMillis + settings.purchaseDelayMillis() + settings.listLagMillis();
        schedule(listedAtMillis, () -> instances.put(id, candidate));
      }
    }
    return purchasedIds;
  }

  private static boolean matches(JsonNode candidate, JsonNode order) {
    String domain = order.path("failureDomain").asText("");
    return candidate.path("pool").asText().equals(order.path("pool").asText())
        && (domain.isEmpty() || candidate.path("failureDomain").asText().equals(domain));
  }

  private String release(String id, long nowMillis) {
    long leavesAtMillis = nowMillis + settings.listLagMillis();
    schedule(leavesAtMillis, () -> applyState(id, "leaving"));
    schedule(leavesAtMillis + settings.releaseDelayMillis(), () -> applyState(id, "gone"));
    return id;
  }

  private void applyState(String id, String state) {
    ObjectNode instance = instances.get(id);
    if (instance != null && state.equals("gone")) {
      instances.remove(id);
    } else if (instance != null) {
      instance.put("state", state);
    }
  }

  private void schedule(long atMillis, Runnable change) {
    scheduledChanges.add(new ScheduledChange(atMillis, change));
  }

  private void applyDueChanges(long nowMillis) {
    for (ScheduledChange next : List.copyOf(scheduledChanges)) {
      if (next.atMillis() <= nowMillis) {
        scheduledChanges.remove(next);
        next.change().run();
      }
    }
  }

  private void addInitial(ObjectNode instance, boolean isPrepared) {
    if (isPrepared) {
      prepared.add(instance);
    } else {
      instances.put(instance.path("id").asText(), instance);
    }
  }

  private static ObjectNode toInstance(FleetFile.Engine engine) {
    ObjectNode instance =
        newInstance(engine.id(), engine.pool(), engine.failureDomain(), engine.address(), "engine");
    instance.put("capacity", engine.capacity()).put("checksFencing", engine.checksFencing());
    instance.putArray("models").add(engine.model());
    return instance.put("role", engine.role());
  }

  private static ObjectNode toInstance(FleetFile.Service service) {
    ObjectNode instance =
        newInstance(
            service.id(), service.pool(), service.failureDomain(), service.address(), "service");
    return instance.put("capacity", service.capacity()).put("checksFencing", false);
  }

  private static ObjectNode newInstance(
      String id, String pool, String failureDomain, String address, String kind) {
    ObjectNode instance = Json.object().put("id", id).put("pool", pool);
    instance.put("failureDomain", failureDomain).put("address", "http://" + address);
    return instance.put("kind", kind).put("state", "live");
  }
}
