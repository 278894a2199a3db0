package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/**
 * Fake platform with the HTTP protocol of a real one. Routes for tests under {@code /fake/}:
 *
 * <ul>
 *   <li>{@code GET record}: what the platform received, as JSON lines
 *   <li>{@code POST instances}: adds a backend server to the instance list
 *   <li>{@code POST state} with {@code {"id", "state": "live|leaving|gone"}}: sets the state of a
 *       backend server
 *   <li>{@code POST entry-instances} with {@code {"id", "state": "live|gone"}}: sets the state of
 *       an entry instance
 *   <li>{@code POST faults} with {@code {"loseAnswers": n}}: the next n orders and usage reports
 *       take effect, but their responses are lost
 * </ul>
 */
public final class FakePlatform implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(FakePlatform.class);
  private static final String ID = "platform";

  /**
   * Prefix of the base URL {@code /from/INSTANCE}, which identifies the sender in the record; the
   * protocol itself does not.
   */
  private static final String SENDER_PREFIX = "/from/";

  private final FakeRecord record = new FakeRecord(ID);
  private final PlatformCore core;
  private final AtomicInteger loseAnswers = new AtomicInteger();
  private final FakeHttpServer server;

  private FakePlatform(FleetFile fleet, FleetFile.Platform platform) {
    PlatformSettings defaults = PlatformSettings.defaults();
    PlatformSettings settings =
        platform.settings() == null
            ? defaults
            : Json.override(defaults, PlatformSettings.class, platform.settings());
    this.core = new PlatformCore(fleet, settings);
    this.server = FakeHttpServer.start(Addresses.parse(platform.address()), this::handle);
  }

  /** Starts the platform of a fleet; port 0 in its address selects an unused port. */
  public static FakePlatform start(FleetFile fleet) {
    if (fleet.platform() == null) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, "the fleet has no platform");
    }
    FakePlatform fake = new FakePlatform(fleet, fleet.platform());
    LOG.info(TestkitEvent.FAKE_STARTED, "platform", fake.address());
    return fake;
  }

  /** Returns the address that the fake listens on, as {@code host:port}. */
  public String address() {
    return server.hostAndPort();
  }

  /** Returns the record of the orders and reports received. */
  public FakeRecord record() {
    return record;
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(ServerExchange exchange) throws IOException {
    long nowMillis = System.currentTimeMillis();
    String path = withoutSenderPrefix(exchange.path());
    if (path.startsWith("/fake/")) {
      handleTestRoute(exchange, nowMillis);
    } else if (path.startsWith("/weights/")) {
      handleFetchOfWeights(exchange, nowMillis);
    } else {
      switch (path) {
        case "/instances" -> exchange.reply(200, core.instances(nowMillis));
        case "/entry-instances" -> exchange.reply(200, core.entryInstances(nowMillis));
        case "/orders" -> handleOrder(exchange, nowMillis);
        case "/usage" -> handleUsage(exchange);
        default -> exchange.replyError(404, "unknown_route");
      }
    }
  }

  private void handleOrder(ServerExchange exchange, long nowMillis) throws IOException {
    record.addRequest(exchange);
    JsonNode order = exchange.json();
    ObjectNode response = core.order(order, nowMillis);
    record.add("order", withSender(exchange, order).put("repeated", response.has("repeated")));
    response.remove("repeated");
    replyUnlessLost(exchange, response);
  }

  private void handleUsage(ServerExchange exchange) throws IOException {
    record.addRequest(exchange);
    JsonNode report = exchange.json();
    String comparison = core.usage(report);
    record.add("usage", withSender(exchange, report).put("comparison", comparison));
    replyUnlessLost(exchange, Json.object().put("windowId", report.path("windowId").asText()));
  }

  private void handleFetchOfWeights(ServerExchange exchange, long nowMillis) throws IOException {
    record.addRequest(exchange);
    if (core.tryFetchWeights(nowMillis)) {
      exchange.reply(200, Json.object().put("weights", exchange.path()));
    } else {
      exchange.setResponseHeader("Retry-After", "1");
      exchange.replyError(429, "rate_limited");
    }
  }

  private void replyUnlessLost(ServerExchange exchange, ObjectNode response) throws IOException {
    if (loseAnswers.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
      exchange.abortConnection();
    } else {
      exchange.reply(200, response);
    }
  }

  private static ObjectNode withSender(ServerExchange exchange, JsonNode body) {
    ObjectNode details = body.deepCopy();
    details.put("sender", exchange.sender());
    details.put("authority", exchange.header("X-Trestle-Authority", ""));
    return details.put("instance", senderInstance(exchange));
  }

  private static String senderInstance(ServerExchange exchange) {
    String path = exchange.path();
    if (path.startsWith(SENDER_PREFIX)) {
      int end = path.indexOf('/', SENDER_PREFIX.length());
      return path.substring(SENDER_PREFIX.length(), Math.max(end, SENDER_PREFIX.length()));
    }
    return exchange.header("X-Trestle-Instance", "");
  }

  private static String withoutSenderPrefix(String path) {
    int end = path.startsWith(SENDER_PREFIX) ? path.indexOf('/', SENDER_PREFIX.length()) : 0;
    return end < 0 ? path : path.substring(end);
  }

  private void handleTestRoute(ServerExchange exchange, long nowMillis) throws IOException {
    if (exchange.path().equals("/fake/record")) {
      exchange.reply(200, "application/x-ndjson", record.lines());
      return;
    }
    JsonNode body = exchange.json();
    String id = body.path("id").asText();
    String state = body.path("state").asText();
    switch (exchange.path()) {
      case "/fake/instances" -> core.addInstance(body.deepCopy(), nowMillis);
      case "/fake/state" -> core.setState(id, state, nowMillis);
      case "/fake/entry-instances" -> core.setEntryInstance(id, state, nowMillis);
      case "/fake/faults" -> loseAnswers.set(body.path("loseAnswers").asInt(0));
      default -> {
        exchange.replyError(404, "unknown_route");
        return;
      }
    }
    ObjectNode change = body.deepCopy();
    record.add("administered", change.put("path", exchange.path()));
    exchange.reply(200, Json.object());
  }
}
