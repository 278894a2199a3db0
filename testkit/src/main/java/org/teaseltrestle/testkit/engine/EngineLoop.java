package org.teaseltrestle.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.testkit.fakes.FakeRecord;
import org.teaseltrestle.testkit.http.Json;

/** Thread of one fake engine: steps the batch in real time and samples the load. */
final class EngineLoop implements AutoCloseable {

  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int SAMPLES_KEPT = 256;
  private static final double NANOS_PER_SECOND = 1e9;

  private record Sample(long atNanos, ObjectNode load) {}

  private final EngineSettings settings;
  private final EngineFaults faults;
  private final FakeRecord record;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final EngineCore core;
  private final CacheEvents events;
  private final Orders orders;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean leaving;

  EngineLoop(
      String name, EngineSettings settings, EngineFaults faults, Orders orders, FakeRecord record) {
    this.settings = settings;
    this.faults = faults;
    this.orders = orders;
    this.record = record;
    this.events =
        new CacheEvents(settings.nanos(settings.eventLagMillis()), settings.eventGapEvery());
    this.core =
        new EngineCore(
            settings,
            (kind, hash) -> events.add(kind, hash, clock.nowNanos()),
            sequence -> recordStart(sequence));
    this.thread = new Thread(this::run, "engine-" + name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  synchronized boolean submit(EngineRequest request, Sequence.Sink sink) {
    return core.submit(request, sink);
  }

  synchronized boolean fits(EngineRequest request) {
    return core.fits(request);
  }

  synchronized int cancel(String requestId, Sequence.@Nullable Sink sink) {
    return core.end(requestId, sink, Sequence.End.CANCELLED);
  }

  synchronized void crash() {
    core.endAll();
  }

  synchronized Orders.Outcome order(JsonNode order) {
    return orders.handle(order, clock.nowNanos());
  }

  synchronized ObjectNode state() {
    orders.advance(clock.nowNanos());
    return orders.state().put("leaving", leaving);
  }

  /** Returns why the engine takes no new work, or null if it does. */
  synchronized @Nullable String closedFor() {
    orders.advance(clock.nowNanos());
    return leaving ? "leaving" : orders.changing() || orders.draining() ? "busy" : null;
  }

  synchronized String model() {
    return orders.model();
  }

  void leave(boolean value) {
    leaving = value;
  }

  /** Returns the newest load sample that is at least the lag old. */
  synchronized ObjectNode load() {
    long now = clock.nowNanos();
    long lag = settings.nanos(settings.loadLagMillis());
    Sample chosen = samples.peekFirst();
    for (Sample sample : samples) {
      if (now - sample.atNanos() >= lag) {
        chosen = sample;
      }
    }
    if (chosen == null) {
      chosen = new Sample(now, sampleLoad());
    }
    double age = (now - chosen.atNanos()) / NANOS_PER_SECOND;
    return chosen.load().deepCopy().put("measuredSecondsAgo", age);
  }

  synchronized ObjectNode cacheEvents(long after) {
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("events");
    for (CacheEvents.CacheEvent event : events.after(after, clock.nowNanos())) {
      list.addObject()
          .put("sequence", event.sequence())
          .put("kind", event.kind())
          .put("prefixHash", event.prefixHash());
    }
    return answer;
  }

  synchronized ObjectNode prefixes() {
    ObjectNode answer = Json.object().put("sequence", events.sequence());
    ArrayNode list = answer.putArray("prefixes");
    core.prefixes().forEach(list::add);
    return answer;
  }

  @Override
  public void close() {
    closed = true;
    crash();
  }

  private void run() {
    long nextSample = clock.nowNanos();
    while (!closed) {
      long now = clock.nowNanos();
      if (now - nextSample >= 0) {
        sample(now);
        nextSample = now + SAMPLE_NANOS;
      }
      EngineCore.Step step = nextStep(now);
      if (step == null) {
        LockSupport.parkNanos(IDLE_NANOS);
      } else {
        waitUntil(now + (long) (step.nanos() * faults.slowFactor()));
        synchronized (this) {
          core.finish(step);
        }
      }
    }
  }

  private synchronized EngineCore.@Nullable Step nextStep(long now) {
    orders.advance(now);
    return orders.changing() ? null : core.nextStep(orders.role());
  }

  private void waitUntil(long deadline) {
    long left = deadline - clock.nowNanos();
    while (left > 0 && !closed) {
      LockSupport.parkNanos(left);
      left = deadline - clock.nowNanos();
    }
  }

  private synchronized void sample(long now) {
    samples.addLast(new Sample(now, sampleLoad()));
    if (samples.size() > SAMPLES_KEPT) {
      samples.removeFirst();
    }
  }

  private ObjectNode sampleLoad() {
    ObjectNode load = Json.object();
    load.put("role", orders.changing() ? "changing" : orders.role().wireName());
    load.put("model", orders.model());
    load.put("running", core.runningCount()).put("waiting", core.waitingCount());
    load.put("queuedPromptTokens", core.queuedPromptTokens());
    load.put("kvPiecesTotal", settings.kvPieces()).put("kvPiecesFree", core.freePieces());
    return load.put("pieceTokens", settings.pieceTokens()).put("leaving", leaving);
  }

  private void recordStart(Sequence sequence) {
    record.add(
        "started",
        Json.object().put("requestId", sequence.requestId).put("attempt", sequence.attempt));
  }
}
