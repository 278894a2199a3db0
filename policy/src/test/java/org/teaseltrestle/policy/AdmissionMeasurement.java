package org.teaseltrestle.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;

/**
 * Measures the throughput and memory use of the admission core with 32 servers and 1,100 accounts.
 * Not a test: run the main method, which prints the results.
 */
public final class AdmissionMeasurement {

  private static final int SERVERS = 32;
  private static final int ACCOUNTS = 1_100;
  private static final int PREFIXES = 32;
  private static final int EVENTS = 3_000_000;

  private final SplittableRandom random = new SplittableRandom(1);
  private final AdmissionCore core = new AdmissionCore(PolicyConfiguration.builder().build());
  private final ArrayDeque<AdmissionAction.Dispatch> running = new ArrayDeque<>();
  private long now = Samples.SECOND;
  private long events;
  private long dispatches;
  private int number;

  private AdmissionMeasurement() {}

  /** Runs the measurements. */
  public static void main(String[] arguments) {
    for (int round = 0; round < 3; round++) {
      throughput("no queue", 1);
      throughput("twice capacity", 2);
    }
    memory();
  }

  private static void throughput(String name, int arrivals) {
    AdmissionMeasurement measurement = new AdmissionMeasurement();
    measurement.setUp(SERVERS, ACCOUNTS);
    long start = System.nanoTime();
    measurement.drive(arrivals);
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        "%s: %,.0f events/s, %.2f us/event, %d dispatches, %d open, %d running%n",
        name,
        measurement.events / seconds,
        seconds * 1e6 / measurement.events,
        measurement.dispatches,
        measurement.core.openRequests(),
        measurement.running.size());
  }

  private void setUp(int servers, int accounts) {
    Map<ClientAccount, PlanLimits> limits = new HashMap<>();
    for (int i = 0; i < accounts; i++) {
      PlanLimits plan = Samples.highLimits("account-" + i, 1 + i % 4, i % 3);
      limits.put(plan.account(), plan);
    }
    send(new AdmissionEvent.ListsChanged(limits));
    List<BackendServer> fleet = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      fleet.add(Samples.engine("e" + i, "d" + i % 6));
    }
    send(new AdmissionEvent.FleetChanged(fleet));
    for (int i = 0; i < servers; i++) {
      Set<String> prefixes = new HashSet<>();
      for (int block = 0; block < PREFIXES; block++) {
        prefixes.add(Integer.toHexString(i % 8 * PREFIXES + block));
      }
      BackendServerId id = new BackendServerId("e" + i);
      send(new AdmissionEvent.CacheChanged(id, true, prefixes, Set.of()));
    }
  }

  /** Each step sends a number of arrivals and the end of one running request. */
  private void drive(int arrivals) {
    for (long step = 0; events < EVENTS; step++) {
      now += 20_000;
      if (step % 500 == 0) {
        report((int) (step / 500 % SERVERS));
      }
      for (int i = 0; i < arrivals; i++) {
        arrive();
      }
      if (running.size() >= 200) {
        AdmissionAction.Dispatch done = running.removeFirst();
        send(new AdmissionEvent.TokensReceived(done.request(), 50));
        send(
            new AdmissionEvent.AttemptFinished(
                done.request(),
                done.attempt(),
                done.server(),
                new AttemptOutcome(null, 50, 5 * Samples.MILLISECOND)));
      }
    }
  }

  private void arrive() {
    List<String> prefix = new ArrayList<>(PREFIXES);
    int prefixFamily = random.nextInt(16);
    for (int block = 0; block < PREFIXES; block++) {
      prefix.add(Integer.toHexString(prefixFamily * PREFIXES + block));
    }
    WorkRequest plain =
        Samples.request(
            "r" + number++,
            "account-" + random.nextInt(ACCOUNTS),
            600,
            50,
            now + 980 * Samples.MILLISECOND,
            WorkRequest.Repeatability.IDEMPOTENT,
            random.nextLong());
    send(
        new AdmissionEvent.RequestArrived(
            new WorkRequest(
                plain.request(),
                plain.account(),
                plain.item(),
                plain.pool(),
                plain.kind(),
                plain.repeatability(),
                plain.promptTokens(),
                plain.expectedOutputTokens(),
                prefix,
                0,
                plain.firstTokenDeadlineNanos(),
                plain.sampleBits())));
  }

  private void report(int server) {
    send(new AdmissionEvent.LoadReported(Samples.loadReport("e" + server, now, 6, 500, 700)));
  }

  private void send(AdmissionEvent event) {
    events++;
    for (AdmissionAction action : core.handle(event, now)) {
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        running.add(dispatch);
        dispatches++;
      }
    }
  }

  private static void memory() {
    System.out.printf("bytes per account: %d%n", bytesPerAccount());
    System.out.printf("bytes per server without prefixes: %d%n", bytesPerServer(0));
    System.out.printf("bytes per known prefix: %d%n", bytesPerServer(4_000) / 4_000);
  }

  /**
   * Returns the bytes per account. Each account has sent one request, so that its buckets exist.
   */
  private static long bytesPerAccount() {
    List<WorkRequest> requests = new ArrayList<>();
    Map<ClientAccount, PlanLimits> limits = new HashMap<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      PlanLimits plan = Samples.highLimits("account-" + i, 1, 0);
      limits.put(plan.account(), plan);
      requests.add(Samples.completion("r" + i, "account-" + i, 100, 10, 10 * Samples.SECOND));
    }
    final long before = usedBytes();
    AdmissionMeasurement measurement = new AdmissionMeasurement();
    measurement.send(new AdmissionEvent.ListsChanged(limits));
    measurement.send(new AdmissionEvent.FleetChanged(List.of(Samples.engine("e1", "a"))));
    for (WorkRequest work : requests) {
      measurement.send(new AdmissionEvent.RequestArrived(work));
      measurement.send(new AdmissionEvent.CallerDisconnected(work.request()));
      while (!measurement.running.isEmpty()) {
        AdmissionAction.Dispatch done = measurement.running.removeFirst();
        measurement.send(
            new AdmissionEvent.AttemptFinished(
                done.request(), done.attempt(), done.server(), new AttemptOutcome(null, 1, 1)));
      }
    }
    long bytes = usedBytes() - before;
    measurement.checkNoOpenRequests();
    return bytes / ACCOUNTS;
  }

  private static long bytesPerServer(int prefixes) {
    int servers = 60;
    List<BackendServer> fleet = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      fleet.add(Samples.engine("e" + i, "a"));
    }
    final long before = usedBytes();
    AdmissionMeasurement measurement = new AdmissionMeasurement();
    measurement.send(new AdmissionEvent.FleetChanged(fleet));
    for (int i = 0; i < servers; i++) {
      Set<String> added = new HashSet<>();
      for (int block = 0; block < prefixes; block++) {
        added.add(Integer.toHexString(i * prefixes + block));
      }
      BackendServerId id = new BackendServerId("e" + i);
      measurement.send(new AdmissionEvent.LoadReported(Samples.loadReport("e" + i, 1, 0, 0, 1)));
      measurement.send(new AdmissionEvent.CacheChanged(id, true, added, Set.of()));
    }
    long bytes = usedBytes() - before;
    measurement.checkNoOpenRequests();
    return bytes / servers;
  }

  private void checkNoOpenRequests() {
    if (core.openRequests() != 0) {
      System.out.println("error: some requests have not ended");
    }
  }

  private static long usedBytes() {
    long minimum = Long.MAX_VALUE;
    for (int i = 0; i < 5; i++) {
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      minimum = Math.min(minimum, runtime.totalMemory() - runtime.freeMemory());
    }
    return minimum;
  }
}
