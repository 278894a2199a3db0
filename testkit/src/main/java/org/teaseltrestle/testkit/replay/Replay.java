package org.teaseltrestle.testkit.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.engine.PrefixHash;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.trace.PromptText;
import org.teaseltrestle.testkit.trace.TraceEntry;

/**
 * Sends a trace open-loop: each request starts at its scheduled time, whether or not earlier ones
 * have ended.
 */
public final class Replay {

  private static final EventLog LOG = EventLog.of(Replay.class);
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long MAXIMUM_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final double MICROS_PER_MILLI = 1000;

  private final List<TraceEntry> trace;
  private final ReplaySettings settings;
  private final OkHttpClient client;
  private final Histogram interTokenMicros = new ConcurrentHistogram(MAXIMUM_MICROS, 3);

  /** Creates a replay of a trace. */
  public Replay(List<TraceEntry> trace, ReplaySettings settings) {
    this.trace = List.copyOf(trace);
    this.settings = settings;
    this.client = HttpClients.create(Duration.ofMillis(settings.timeoutMillis()));
  }

  /** Sends all requests, waits for all responses and returns the results in the trace's order. */
  public List<RequestResult> run() {
    LOG.info(TestkitEvent.REPLAY_STARTED, "requests", trace.size());
    ExecutorService executor = Executors.newCachedThreadPool(daemonThreads());
    List<CompletableFuture<RequestResult>> pendingResults = new ArrayList<>();
    long start = System.nanoTime();
    for (int i = 0; i < trace.size(); i++) {
      int index = i;
      double offsetMillis = trace.get(i).atMillis() * settings.timeScale();
      long startNanos = start + (long) (offsetMillis * TimeUnit.MILLISECONDS.toNanos(1));
      waitUntil(startNanos);
      pendingResults.add(CompletableFuture.supplyAsync(() -> send(index, startNanos), executor));
    }
    List<RequestResult> results = pendingResults.stream().map(CompletableFuture::join).toList();
    executor.shutdown();
    client.connectionPool().evictAll();
    LOG.info(TestkitEvent.REPLAY_FINISHED, "requests", results.size());
    return results;
  }

  /** Returns all times between successive tokens, in microseconds. */
  public Histogram interTokenMicros() {
    return interTokenMicros;
  }

  private RequestResult send(int index, long startNanos) {
    TraceEntry entry = trace.get(index);
    String entryAddress = entryAddress(index, entry);
    byte[] payload = payload(entry, index);
    ResultBuilder builder =
        new ResultBuilder(
            index,
            entry.account() == null ? "" : entry.account(),
            entryAddress,
            PrefixHash.sha256Hex(payload),
            entry.idempotencyKey(),
            startNanos);
    RequestResult result = sendAndRead(entry, entryAddress, payload, builder);
    builder
        .interTokenGaps()
        .forEach(
            gap ->
                interTokenMicros.recordValue(
                    Math.min(MAXIMUM_MICROS, (long) (gap * MICROS_PER_MILLI))));
    return result;
  }

  private RequestResult sendAndRead(
      TraceEntry entry, String entryAddress, byte[] payload, ResultBuilder builder) {
    try (Response response = client.newCall(newRequest(entry, entryAddress, payload)).execute()) {
      return new ResponseReader(entry, builder).read(response);
    } catch (IOException e) {
      return builder.build(ReplayOutcome.BROKEN, String.valueOf(e));
    } catch (TrestleException e) {
      return builder.build(ReplayOutcome.WRONG, e.getMessage());
    }
  }

  private Request newRequest(TraceEntry entry, String entryAddress, byte[] payload) {
    Request.Builder request = new Request.Builder();
    String key = entry.account() == null ? null : settings.keysByAccount().get(entry.account());
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    if (entry.idempotencyKey() != null) {
      request.header("Idempotency-Key", entry.idempotencyKey());
    }
    if (entry.isModelRequest()) {
      String path = entry.chat() ? "/v1/chat/completions" : "/v1/completions";
      String prompt = new String(payload, StandardCharsets.UTF_8);
      return request
          .url("http://" + entryAddress + path)
          .post(RequestBody.create(modelBody(entry, prompt), JSON))
          .build();
    }
    String method = entry.method() == null ? "GET" : entry.method();
    return request
        .url("http://" + entryAddress + "/services/" + entry.service() + entry.path())
        .method(method, serviceBody(method, payload))
        .build();
  }

  private static @Nullable RequestBody serviceBody(String method, byte[] payload) {
    return method.equals("GET") || method.equals("HEAD") ? null : RequestBody.create(payload, JSON);
  }

  private static String modelBody(TraceEntry entry, String prompt) {
    var body = Json.object().put("model", entry.model()).put("stream", entry.stream());
    body.put("max_tokens", entry.outputTokens());
    if (entry.priority() != null) {
      body.put("priority", entry.priority());
    }
    if (entry.chat()) {
      body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    } else {
      body.put("prompt", prompt);
    }
    return body.toString();
  }

  private byte[] payload(TraceEntry entry, int index) {
    String text =
        entry.isModelRequest()
            ? PromptText.of(entry, settings.runId(), index)
            : entry.body() == null ? "" : entry.body();
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private String entryAddress(int index, TraceEntry entry) {
    boolean byAccount =
        settings.spread() == ReplaySettings.Spread.ACCOUNT && entry.account() != null;
    int slot = byAccount ? String.valueOf(entry.account()).hashCode() : index;
    return settings.entryAddresses().get(Math.floorMod(slot, settings.entryAddresses().size()));
  }

  private static void waitUntil(long deadlineNanos) {
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
  }

  private static ThreadFactory daemonThreads() {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, "replay-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
