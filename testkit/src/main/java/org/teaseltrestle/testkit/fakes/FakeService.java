package org.teaseltrestle.testkit.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.engine.PrefixHash;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.http.ServerExchange;

/**
 * Fake plain service, which runs and records each call. Faults are injected through {@code POST
 * /fake/faults}, all fields optional:
 *
 * <ul>
 *   <li>{@code loseAnswers}: how many of the next calls run, but close the connection without a
 *       response
 *   <li>{@code refuse}: how many of the next calls get status 503 and do not run
 *   <li>{@code delayMillis}: duration of each call
 *   <li>{@code crashed}: whether every connection is closed without a response
 * </ul>
 */
public final class FakeService implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(FakeService.class);

  private final String id;
  private final FakeRecord record;
  private final FakeHttpServer server;
  private final Semaphore permits;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger loseAnswers = new AtomicInteger();
  private final AtomicInteger refuse = new AtomicInteger();
  private volatile long delayMillis;
  private volatile boolean leaving;
  private volatile boolean crashed;

  private FakeService(FleetFile.Service service) {
    this.id = service.id();
    this.record = new FakeRecord(id);
    ServiceSettings defaults = ServiceSettings.defaults();
    ServiceSettings settings =
        service.settings() == null
            ? defaults
            : Json.override(defaults, ServiceSettings.class, service.settings());
    this.permits = new Semaphore(settings.maximumRunning(), true);
    this.delayMillis = settings.delayMillis();
    this.server = FakeHttpServer.start(Addresses.parse(service.address()), this::handle);
  }

  /** Starts a service; port 0 in its address selects an unused port. */
  public static FakeService start(FleetFile.Service service) {
    FakeService fake = new FakeService(service);
    LOG.info(TestkitEvent.FAKE_STARTED, "service", fake.id, "address", fake.address());
    return fake;
  }

  /** Returns the address that the fake listens on, as {@code host:port}. */
  public String address() {
    return server.hostAndPort();
  }

  /** Returns the record of the calls. */
  public FakeRecord record() {
    return record;
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(ServerExchange exchange) throws IOException {
    if (exchange.path().startsWith("/fake/")) {
      handleTestRoute(exchange);
    } else if (crashed) {
      exchange.abortConnection();
    } else if (exchange.path().equals("/load")) {
      ObjectNode load = Json.object().put("running", running.get());
      exchange.reply(200, load.put("waiting", waiting.get()).put("leaving", leaving));
    } else {
      record.addRequest(exchange);
      if (leaving) {
        exchange.replyError(503, "leaving");
      } else if (decrementIfPositive(refuse)) {
        exchange.replyError(503, "overloaded");
      } else {
        run(exchange);
      }
    }
  }

  private void run(ServerExchange exchange) throws IOException {
    waiting.incrementAndGet();
    permits.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    String digest = PrefixHash.sha256Hex(exchange.body());
    try {
      ObjectNode details = Json.object().put("requestId", exchange.header("X-Request-Id", ""));
      details.put("account", exchange.header("X-Trestle-Account", ""));
      details.put("idempotencyKey", exchange.header("Idempotency-Key", ""));
      details.put("method", exchange.method()).put("path", exchange.path());
      record.add("ran", details.put("bodyDigest", digest));
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
    } finally {
      running.decrementAndGet();
      permits.release();
    }
    if (decrementIfPositive(loseAnswers)) {
      exchange.abortConnection();
      return;
    }
    ObjectNode response = Json.object().put("done", true).put("bodyDigest", digest);
    response.put("requestId", exchange.header("X-Request-Id", ""));
    exchange.reply(200, response.put("method", exchange.method()).put("path", exchange.path()));
  }

  private void handleTestRoute(ServerExchange exchange) throws IOException {
    switch (exchange.path()) {
      case "/fake/record" -> {
        exchange.reply(200, "application/x-ndjson", record.lines());
        return;
      }
      case "/fake/faults" -> setFaults(exchange.json());
      case "/fake/crash" -> crashed = true;
      case "/fake/restart" -> crashed = false;
      case "/fake/leave" -> setLeaving(true);
      case "/fake/return" -> setLeaving(false);
      default -> {
        exchange.replyError(404, "unknown_route");
        return;
      }
    }
    exchange.reply(200, Json.object().put("delayMillis", delayMillis).put("crashed", crashed));
  }

  private void setFaults(JsonNode body) {
    loseAnswers.set(body.path("loseAnswers").asInt(loseAnswers.get()));
    refuse.set(body.path("refuse").asInt(refuse.get()));
    delayMillis = body.path("delayMillis").asLong(delayMillis);
    crashed = body.path("crashed").asBoolean(crashed);
  }

  private void setLeaving(boolean value) {
    leaving = value;
    record.add(value ? "leaving" : "returned", Json.object());
  }

  private static boolean decrementIfPositive(AtomicInteger counter) {
    return counter.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }
}
