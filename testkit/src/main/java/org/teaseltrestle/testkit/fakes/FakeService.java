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
import org.teaseltrestle.testkit.http.Call;
import org.teaseltrestle.testkit.http.HttpShell;
import org.teaseltrestle.testkit.http.Json;

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
  private final HttpShell shell;
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
    this.shell = HttpShell.start(Addresses.parse(service.address()), this::handle);
  }

  /** Starts a service; port 0 in its address selects an unused port. */
  public static FakeService start(FleetFile.Service service) {
    FakeService fake = new FakeService(service);
    LOG.info(TestkitEvent.FAKE_STARTED, "service", fake.id, "address", fake.address());
    return fake;
  }

  /** Returns the address that the fake listens on, as {@code host:port}. */
  public String address() {
    return shell.hostAndPort();
  }

  /** Returns the record of the calls. */
  public FakeRecord record() {
    return record;
  }

  @Override
  public void close() {
    shell.close();
  }

  private void handle(Call call) throws IOException {
    if (call.path().startsWith("/fake/")) {
      handleTestRoute(call);
    } else if (crashed) {
      call.abortConnection();
    } else if (call.path().equals("/load")) {
      ObjectNode load = Json.object().put("running", running.get());
      call.reply(200, load.put("waiting", waiting.get()).put("leaving", leaving));
    } else {
      record.addRequest(call);
      if (leaving) {
        call.refuse(503, "leaving");
      } else if (decrementIfPositive(refuse)) {
        call.refuse(503, "overloaded");
      } else {
        run(call);
      }
    }
  }

  private void run(Call call) throws IOException {
    waiting.incrementAndGet();
    permits.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    String digest = PrefixHash.sha256Hex(call.body());
    try {
      ObjectNode details = Json.object().put("requestId", call.header("X-Request-Id", ""));
      details.put("account", call.header("X-Trestle-Account", ""));
      details.put("idempotencyKey", call.header("Idempotency-Key", ""));
      details.put("method", call.method()).put("path", call.path());
      record.add("ran", details.put("bodyDigest", digest));
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
    } finally {
      running.decrementAndGet();
      permits.release();
    }
    if (decrementIfPositive(loseAnswers)) {
      call.abortConnection();
      return;
    }
    ObjectNode response = Json.object().put("done", true).put("bodyDigest", digest);
    response.put("requestId", call.header("X-Request-Id", ""));
    call.reply(200, response.put("method", call.method()).put("path", call.path()));
  }

  private void handleTestRoute(Call call) throws IOException {
    switch (call.path()) {
      case "/fake/record" -> {
        call.reply(200, "application/x-ndjson", record.lines());
        return;
      }
      case "/fake/faults" -> setFaults(call.json());
      case "/fake/crash" -> crashed = true;
      case "/fake/restart" -> crashed = false;
      case "/fake/leave" -> setLeaving(true);
      case "/fake/return" -> setLeaving(false);
      default -> {
        call.refuse(404, "unknown_route");
        return;
      }
    }
    call.reply(200, Json.object().put("delayMillis", delayMillis).put("crashed", crashed));
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
