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
 * Measures the overhead of the relay compared with direct calls of a fake engine. Run by hand;
 * direct and relayed calls alternate in one run, so that other load on the machine affects both.
 */
public final class OverheadMeasurement {

  private static final int CLIENTS = 4;
  private static final int ROUNDS = 6;
  private static final int CALLS_PER_ROUND = 500;
  private static final int TOKENS = 16;

  private OverheadMeasurement() {}

  /**
   * Prints latencies of direct and relayed calls, their ratio, and the CPU time added per request.
   */
  public static void main(String[] arguments) throws Exception {
    try (FakeServer engine = new FakeServer(FakeServer.engine(TOKENS));
        RelayHarness relay = new RelayHarness().with("models", engine)) {
      String direct = engine.address();
      String relayed = "http://127.0.0.1:" + relay.relay.port();
      run(direct, 4_000);
      run(relayed, 4_000);
      Histogram directTimes = new ConcurrentHistogram(3);
      Histogram relayedTimes = new ConcurrentHistogram(3);
      long cpuNanos = 0;
      long directCpuNanos = 0;
      for (int round = 0; round < ROUNDS; round++) {
        long before = cpuNanos();
        directTimes.add(run(direct, CALLS_PER_ROUND));
        long between = cpuNanos();
        relayedTimes.add(run(relayed, CALLS_PER_ROUND));
        directCpuNanos += between - before;
        cpuNanos += cpuNanos() - between;
      }
      print("direct", directTimes);
      print("relayed", relayedTimes);
      double calls = ROUNDS * (double) CALLS_PER_ROUND * CLIENTS;
      double added = (cpuNanos - directCpuNanos) / calls;
      System.out.printf(
          "p50 ratio %.2f, p99 added %.3f ms, CPU time added per request %.3f ms"
              + " (%.0f requests per second per core)%n",
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
                callSequentially(address, calls, times);
                done.countDown();
              });
      thread.setDaemon(true);
      thread.start();
    }
    if (!done.await(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException("calls did not end in time");
    }
    return times;
  }

  private static void callSequentially(String address, int calls, Histogram times) {
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
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (!response.body().contains("[DONE]")) {
          throw new IllegalStateException("response is incomplete: " + response.body());
        }
        times.recordValue(System.nanoTime() - start);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long cpuNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
