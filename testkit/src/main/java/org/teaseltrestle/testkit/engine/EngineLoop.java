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

/** Thread of one fake engine: runs the batch in real time and samples the load. */
final class EngineLoop implements AutoCloseable {

  private static final long IDLE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long SAMPLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAXIMUM_SAMPLES = 256;
  private static final double NANOS_PER_SECOND = 1e9;

  private record Sample(long atNanos, ObjectNode load) {}

  private final EngineSettings settings;
  private final EngineFaults faults;
  private final FakeRecord record;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final EngineCore core;
  private final CacheEvents events;
  private final OrderHandler orderHandler;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean leaving;

  EngineLoop(
      String name,
      EngineSettings settings,
      EngineFaults faults,
      OrderHandler orderHandler,
      FakeRecord record) {
    this.settings = settings;
    this.faults = faults;
    this.orderHandler = orderHandler;
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

  synchronized boolean fitsInCache(EngineRequest request) {
    return core.fitsInCache(request);
  }

  synchronized int cancel(String requestId, Sequence.@Nullable Sink sink) {
    return core.endSequences(requestId, sink, Sequence.End.CANCELLED);
  }

  synchronized void crash() {
    core.crashAll();
  }

  synchronized OrderHandler.Outcome order(JsonNode order) {
    return orderHandler.handle(order, clock.nowNanos());
  }

  synchronized ObjectNode state() {
    orderHandler.completeDueChange(clock.nowNanos());
    return orderHandler.state().put("leaving", leaving);
  }

  /** Returns the error code with which new work is refused, or null if it is accepted. */
  synchronized @Nullable String unavailableReason() {
    orderHandler.completeDueChange(clock.nowNanos());
    return leaving ? "leaving" : orderHandler.changing() || orderHandler.draining() ? "busy" : null;
  }

  synchronized String model() {
    return orderHandler.model();
  }

  void setLeaving(boolean value) {
    leaving = value;
  }

  /**
   * Returns the latest load sample that is at least as old as the configured lag, or the oldest one
   * if there is none.
   */
  synchronized ObjectNode load() {
    long nowNanos = clock.nowNanos();
    long lagNanos = settings.nanos(settings.loadLagMillis());
    Sample selected = samples.peekFirst();
    for (Sample sample : samples) {
      if (nowNanos - sample.atNanos() >= lagNanos) {
        selected = sample;
      }
    }
    if (selected == null) {
      selected = new Sample(nowNanos, sampleLoad());
    }
    double ageSeconds = (nowNanos - selected.atNanos()) / NANOS_PER_SECOND;
    return selected.load().deepCopy().put("measuredSecondsAgo", ageSeconds);
  }

  synchronized ObjectNode cacheEvents(long after) {
    ObjectNode response = Json.object();
    ArrayNode list = response.putArray("events");
    for (CacheEvents.CacheEvent event : events.publishedAfter(after, clock.nowNanos())) {
      list.addObject()
          .put("sequence", event.sequence())
          .put("kind", event.kind())
          .put("prefixHash", event.prefixHash());
    }
    return response;
  }

  synchronized ObjectNode prefixes() {
    ObjectNode response = Json.object().put("sequence", events.sequence());
    ArrayNode list = response.putArray("prefixes");
    core.prefixes().forEach(list::add);
    return response;
  }

  @Override
  public void close() {
    closed = true;
    crash();
  }

  private void run() {
    long nextSampleNanos = clock.nowNanos();
    while (!closed) {
      long nowNanos = clock.nowNanos();
      if (nowNanos - nextSampleNanos >= 0) {
        sample(nowNanos);
        nextSampleNanos = nowNanos + SAMPLE_INTERVAL_NANOS;
      }
      EngineCore.Step step = nextStep(nowNanos);
      if (step == null) {
        LockSupport.parkNanos(IDLE_WAIT_NANOS);
      } else {
        waitUntil(nowNanos + (long) (step.nanos() * faults.slowFactor()));
        synchronized (this) {
          core.finish(step);
        }
      }
    }
  }

  private synchronized EngineCore.@Nullable Step nextStep(long nowNanos) {
    orderHandler.completeDueChange(nowNanos);
    return orderHandler.changing() ? null : core.nextStep(orderHandler.role());
  }

  private void waitUntil(long deadlineNanos) {
    long remainingNanos = deadlineNanos - clock.nowNanos();
    while (remainingNanos > 0 && !closed) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadlineNanos - clock.nowNanos();
    }
  }

  private synchronized void sample(long nowNanos) {
    samples.addLast(new Sample(nowNanos, sampleLoad()));
    if (samples.size() > MAXIMUM_SAMPLES) {
      samples.removeFirst();
    }
  }

  private ObjectNode sampleLoad() {
    ObjectNode load = Json.object();
    load.put("role", orderHandler.changing() ? "changing" : orderHandler.role().wireName());
    load.put("model", orderHandler.model());
    load.put("running", core.runningCount()).put("waiting", core.waitingCount());
    load.put("queuedPromptTokens", core.queuedPromptTokens());
    load.put("kvPiecesTotal", settings.kvPieces()).put("kvPiecesFree", core.freeBlocks());
    return load.put("pieceTokens", settings.pieceTokens()).put("leaving", leaving);
  }

  private void recordStart(Sequence sequence) {
    record.add(
        "started",
        Json.object().put("requestId", sequence.requestId).put("attempt", sequence.attempt));
  }
}
