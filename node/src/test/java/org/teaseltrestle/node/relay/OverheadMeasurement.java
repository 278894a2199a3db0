package org.teaseltrestle.node.relay;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures what the relay adds to a stand-in that is called directly. Run by hand; the two sides
 * take turns in one run, so that other load on the machine meets both.
 */
public final class OverheadMeasurement {

  private static final int CLIENTS = 4;
  private static final int ROUNDS = 6;
  private static final int CALLS_PER_ROUND = 500;
  private static final int TOKENS = 16;

  private OverheadMeasurement() {}

  /** Prints latencies of both sides, their ratio and the requests for each second of processor. */
  public static void main(String[] arguments) throws Exception {
    try (StandIn engine = new StandIn(StandIn.engine(TOKENS));
        RelayHarness relay = new RelayHarness().with("models", engine)) {
      String direct = engine.address();
      String relayed = "http://127.0.0.1:" + relay.relay.port();
      run(direct, 4_000);
      run(relayed, 4_000);
      Histogram directTimes = new ConcurrentHistogram(3);
      Histogram relayedTimes = new ConcurrentHistogram(3);
      long processorNanos = 0;
      long processorDirectNanos = 0;
      for (int round = 0; round < ROUNDS; round++) {
        long before = processorNanos();
        directTimes.add(run(direct, CALLS_PER_ROUND));
        long between = processorNanos();
        relayedTimes.add(run(relayed, CALLS_PER_ROUND));
        processorDirectNanos += between - before;
        processorNanos += processorNanos() - between;
      }
      print("direct", directTimes);
      print("relayed", relayedTimes);
      double calls = ROUNDS * (double) CALLS_PER_ROUND * CLIENTS;
      double added = (processorNanos - processorDirectNanos) / calls;
      System.out.printf(
          "p50 ratio %.2f, p99 added %.3f ms, processor added per request %.3f ms"
              + " (%.0f requests a second per core)%n",
          ratio(relayedTimes, directTimes),
          (relayedTimes.getValueAtPercentile(99) - directTimes.getValueAtPercentile(99)) / 1e6,
          added / 1e6,
          1e9 / added);
    }
  }

  private static double ratio(Histogram relayed, Histogram direct) {
    return relayed.getValueAtPercentile(50) / (double) direct.getValueAtPercentile(50);
  }

  private static void print(String name, Histogram times) {
    System.out.printf(
        "%s: p50 %.3f ms, p99 %.3f ms, calls %d%n",
        name,
        times.getValueAtPercentile(50) / 1e6,
        times.getValueAtPercentile(99) / 1e6,
        times.getTotalCount());
  }

  private static Histogram run(String address, int calls) throws InterruptedException {
    Histogram times = new ConcurrentHistogram(3);
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int client = 0; client < CLIENTS; client++) {
      Thread thread =
          new Thread(
              () -> {
                callInTurn(address, calls, times);
                done.countDown();
              });
      thread.setDaemon(true);
      thread.start();
    }
    if (!done.await(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException("calls did not end");
    }
    return times;
  }

  private static void callInTurn(String address, int calls, Histogram times) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(address + "/v1/chat/completions"))
            .timeout(Duration.ofSeconds(10))
            .header("Authorization", "Bearer " + StubControl.KEY)
            .header("X-Request-Id", "direct")
            .POST(HttpRequest.BodyPublishers.ofString(RelayHarness.CHAT_STREAM))
            .build();
    try {
      for (int i = 0; i < calls; i++) {
        long start = System.nanoTime();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (!answer.body().contains("[DONE]")) {
          throw new IllegalStateException("answer is not whole: " + answer.body());
        }
        times.recordValue(System.nanoTime() - start);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long processorNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
