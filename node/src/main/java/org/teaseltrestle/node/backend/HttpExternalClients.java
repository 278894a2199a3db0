package org.teaseltrestle.node.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.fleet.FleetEvent;
import org.teaseltrestle.node.orders.ExternalClients;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.EngineOrderClient;
import org.teaseltrestle.node.port.EntryInstances;
import org.teaseltrestle.node.port.OrderResponse;
import org.teaseltrestle.node.port.OrderResponse.Kind;
import org.teaseltrestle.node.port.PlatformFleet;
import org.teaseltrestle.node.port.PlatformOrderClient;
import org.teaseltrestle.node.port.PlatformUsageClient;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.UsageFigure;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Clients through which the orders duty calls engines and the platform over HTTP. Each request is
 * sent at most once.
 */
public final class HttpExternalClients {

  private static final EventLog LOG = EventLog.of(HttpExternalClients.class);
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Fencing number of the sender's authority, by which the receiver distinguishes two senders. */
  private static final String AUTHORITY_HEADER = "X-Trestle-Authority";

  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVER_ERROR = 500;

  private final BackendHttp http;
  private final StatusReader statusReader;
  private final String platformAddress;

  /** Creates the clients for the platform's base URL. */
  public HttpExternalClients(BackendHttp http, String platformAddress) {
    this.http = http;
    this.statusReader = new StatusReader(http);
    this.platformAddress = platformAddress;
  }

  /** Returns all clients of the orders duty. */
  public ExternalClients externalClients() {
    return new ExternalClients(
        engineOrders(), platformOrders(), platformUsage(), platformFleet(), entryInstances());
  }

  /** Returns the client that sends orders to engines. */
  public EngineOrderClient engineOrders() {
    return (address, order) ->
        post(
            address,
            "/orders",
            engineOrderBody(order),
            order.getFencingNumber(),
            ResponseIdentities::check);
  }

  /** Returns the client that sends orders to the platform. */
  public PlatformOrderClient platformOrders() {
    return (order, fencingNumber) ->
        postToPlatform("/orders", platformOrderBody(order), fencingNumber);
  }

  /** Returns the client that sends usage reports to the platform. */
  public PlatformUsageClient platformUsage() {
    return (window, fencingNumber) ->
        postToPlatform("/usage", usageReportBody(window, fencingNumber), fencingNumber);
  }

  /** Returns the client that reads the platform's list of this system's own instances. */
  public EntryInstances entryInstances() {
    return () -> {
      Set<InstanceId> terminated = new HashSet<>();
      for (JsonNode entry :
          statusReader.getList(platformAddress, "/entry-instances").path("instances")) {
        String id = entry.path("id").asText();
        if (entry.path("state").asText().equals("gone") && Identifiers.isValid(id)) {
          terminated.add(new InstanceId(id));
        }
      }
      return terminated;
    };
  }

  /** Returns the client that reads the platform's list of backend servers. */
  public PlatformFleet platformFleet() {
    return () -> {
      List<BackendServerRecord> servers = new ArrayList<>();
      for (JsonNode entry : statusReader.getList(platformAddress, "/instances").path("instances")) {
        BackendServerRecord server = record(entry);
        if (isUsable(server)) {
          servers.add(server);
        } else {
          LOG.warn(FleetEvent.INSTANCE_ENTRY_INVALID, "id", Identifiers.forLog(server.getId()));
        }
      }
      return servers;
    };
  }

  private static boolean isUsable(BackendServerRecord server) {
    return Identifiers.isValid(server.getId())
        && Identifiers.isValid(server.getPool())
        && Identifiers.isValid(server.getFailureDomain())
        && server.getModelsList().stream().allMatch(Identifiers::isValid)
        && BackendAddress.isValid(server.getAddress());
  }

  private static BackendServerRecord record(JsonNode entry) {
    BackendServerRecord.Builder server =
        BackendServerRecord.newBuilder()
            .setId(entry.path("id").asText())
            .setPool(entry.path("pool").asText())
            .setFailureDomain(entry.path("failureDomain").asText())
            .setAddress(entry.path("address").asText())
            .setKind(entry.path("kind").asText())
            .setCapacity(entry.path("capacity").asText())
            .setChecksFencing(entry.path("checksFencing").asBoolean())
            .setState(entry.path("state").asText())
            .setRole(entry.path("role").asText());
    entry.path("models").forEach(model -> server.addModels(model.asText()));
    return server.build();
  }

  private static ObjectNode engineOrderBody(EngineOrder order) {
    ObjectNode body =
        JSON.createObjectNode()
            .put("orderId", order.getOrderId())
            .put("fencingNumber", order.getFencingNumber())
            .put("kind", order.getKind());
    if (!order.getRole().isEmpty()) {
      body.put("role", order.getRole());
    }
    if (!order.getModel().isEmpty()) {
      body.put("model", order.getModel());
    }
    return body;
  }

  private static ObjectNode platformOrderBody(PlatformOrder order) {
    ObjectNode body =
        JSON.createObjectNode()
            .put("orderId", order.getOrderId())
            .put("fencingNumber", order.getFencingNumber());
    if (!order.getRelease().isEmpty()) {
      return body.put("release", order.getRelease());
    }
    return body.put("pool", order.getPool())
        .put("failureDomain", order.getFailureDomain())
        .put("capacity", order.getCapacity())
        .put("count", order.getCount());
  }

  private static ObjectNode usageReportBody(UsageWindow window, long fencingNumber) {
    ObjectNode body =
        JSON.createObjectNode()
            .put("windowId", Long.toString(window.getWindow()))
            .put("fencingNumber", fencingNumber);
    ArrayNode figures = body.putArray("figures");
    for (UsageFigure figure : window.getFiguresList()) {
      figures
          .addObject()
          .put("account", figure.getAccount())
          .put("item", figure.getItem())
          .put("promptTokens", figure.getPromptTokens())
          .put("outputTokens", figure.getOutputTokens())
          .put("requests", figure.getRequests())
          .put("lateRequests", figure.getLateRequests());
    }
    return body;
  }

  private OrderResponse postToPlatform(String path, ObjectNode body, long fencingNumber) {
    return post(platformAddress, path, body, fencingNumber, response -> {});
  }

  private OrderResponse post(
      String address,
      String path,
      ObjectNode body,
      long fencingNumber,
      Consumer<Response> identityCheck) {
    try {
      Request request =
          new Request.Builder()
              .url(BackendAddress.url(address, path))
              .post(new OneShotBody(JSON.writeValueAsBytes(body), JSON_TYPE))
              .header(AUTHORITY_HEADER, Long.toString(fencingNumber))
              .tag(AttemptProgress.class, new AttemptProgress(new AttemptHandle()))
              .build();
      try (Response response = http.shortCalls().newCall(request).execute()) {
        identityCheck.accept(response);
        return orderResponse(response);
      }
    } catch (IOException | AttemptFailure e) {
      return new OrderResponse(Kind.UNKNOWN, String.valueOf(e.getMessage()));
    }
  }

  private static Set<String> boughtServers(String text) throws IOException {
    Set<String> servers = new HashSet<>();
    if (!text.isBlank()) {
      JSON.readTree(text).path("instances").forEach(server -> servers.add(server.asText()));
    }
    return servers;
  }

  private static OrderResponse orderResponse(Response response) throws IOException {
    ResponseBody body = response.body();
    String text = body == null ? "" : body.string();
    if (response.code() == STATUS_OK) {
      return new OrderResponse(Kind.ACCEPTED, "accepted", boughtServers(text));
    }
    if (response.code() == STATUS_CONFLICT && text.contains("stale_fencing_number")) {
      return new OrderResponse(Kind.STALE, "stale fencing number");
    }
    if ((response.code() == STATUS_CONFLICT && text.contains("busy"))
        || response.code() == STATUS_TOO_MANY_REQUESTS) {
      return new OrderResponse(Kind.BUSY, "busy");
    }
    Kind kind = response.code() >= STATUS_SERVER_ERROR ? Kind.UNKNOWN : Kind.REFUSED;
    return new OrderResponse(kind, "status " + response.code());
  }
}
