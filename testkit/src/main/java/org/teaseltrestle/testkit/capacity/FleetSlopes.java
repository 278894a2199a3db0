package org.teaseltrestle.testkit.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionCore;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.AttemptOutcome;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.LoadReport;
import org.teaseltrestle.policy.PlanLimits;
import org.teaseltrestle.policy.PolicyConfiguration;
import org.teaseltrestle.policy.WorkRequest;
import org.teaseltrestle.testkit.capacity.Slope.Projection;
import org.teaseltrestle.testkit.http.Json;

/** Slopes of the admission core and of the fleet data that an entry node reads. */
final class FleetSlopes {

  private static final String ENTRY_NODE = "entry node";
  private static final int WATCHED_REPLICAS = 32 * States.MODELS;
  private static final int LOAD_READS_PER_SECOND = 4;
  private static final int CACHE_READS_PER_SECOND = 2;
  private static final int PREFIXES_PER_ENGINE = 4_000;
  private static final double REQUESTS_PER_SECOND = 9_100.0 / States.NODES;
  private static final int RUNS = 3;
  private static final List<Integer> REPLICA_SIZES = List.of(144, 288, 576);
  private static final String REQUEST_HEAD =
      "GET /load HTTP/1.1\r\nHost: 10.0.0.1:8000\r\nConnection: Keep-Alive\r\n"
          + "Accept-Encoding: gzip\r\nUser-Agent: okhttp/4.12.0\r\n\r\n";
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Type: application/json\r\n"
          + "Content-Length: 200\r\nDate: Fri, 04 Dec 2026 00:00:00 GMT\r\n\r\n";

  private FleetSlopes() {}

  static List<Slope> all() {
    return List.of(
        replicaMemory(),
        prefixMemory(),
        accountMemory(),
        listMemory(),
        loadReportProcessorTime(),
        fleetProcessorTime(),
        requestProcessorTime(),
        loadBytes(),
        cacheBytes(),
        listBytes());
  }

  private static Slope replicaMemory() {
    return new Slope(
        "memory: replicas in the admission core",
        "B/replica",
        size -> Meter.retainedHeapBytes(() -> newCore(size)),
        REPLICA_SIZES,
        List.of(new Projection(ENTRY_NODE, "18 pools of 32", WATCHED_REPLICAS, 1, Bound.MEMORY)));
  }

  private static Slope prefixMemory() {
    return new Slope(
        "memory: cached prefixes in the admission core",
        "B/prefix",
        size ->
            Meter.retainedHeapBytes(
                () -> {
                  AdmissionCore core = newCore(50);
                  for (int i = 0; i < 50; i++) {
                    core.handle(
                        new AdmissionEvent.CacheChanged(
                            new BackendServerId(States.server(i)),
                            true,
                            prefixes(i, size / 50),
                            Set.of()),
                        1);
                  }
                  return core;
                }),
        List.of(50_000, 100_000, 200_000),
        List.of(
            new Projection(
                ENTRY_NODE,
                "576 replicas with 4,000 each",
                WATCHED_REPLICAS * PREFIXES_PER_ENGINE,
                1,
                Bound.MEMORY)));
  }

  private static Set<String> prefixes(int server, int count) {
    Set<String> added = new HashSet<>();
    for (int i = 0; i < count; i++) {
      added.add("%016x".formatted((long) server << 32 | i));
    }
    return added;
  }

  private static Slope accountMemory() {
    return new Slope(
        "memory: accounts in the admission core",
        "B/account",
        size ->
            Meter.retainedHeapBytes(
                () -> {
                  AdmissionCore core = newCore(32);
                  core.handle(new AdmissionEvent.ListsChanged(limits(size)), 1);
                  for (int i = 0; i < size; i++) {
                    runRequest(core, i, i);
                  }
                  return core;
                }),
        List.of(275, 550, 1_100),
        List.of(new Projection(ENTRY_NODE, "1,100", States.ACCOUNTS, 1, Bound.MEMORY)));
  }

  private static Slope listMemory() {
    return new Slope(
        "memory: platform's instance list",
        "B/replica",
        size -> Meter.retainedHeapBytes(() -> servers(size)),
        List.of(850, 1_700, 3_400),
        List.of(new Projection(ENTRY_NODE, "6,800", States.REPLICAS, 1, Bound.MEMORY)));
  }

  private static Slope loadReportProcessorTime() {
    return new Slope(
        "processor: load reports taken",
        "ns/report",
        size -> {
          AdmissionCore core = newCore(WATCHED_REPLICAS);
          return Meter.minimumProcessorNanos(
              RUNS,
              () -> {
                for (int i = 0; i < size; i++) {
                  core.handle(new AdmissionEvent.LoadReported(report(i % WATCHED_REPLICAS, i)), i);
                }
              });
        },
        List.of(10_000, 20_000, 40_000),
        List.of(
            Projection.events(
                ENTRY_NODE,
                "576 replicas, 4 a second",
                WATCHED_REPLICAS * LOAD_READS_PER_SECOND,
                Bound.PROCESSOR)));
  }

  private static Slope fleetProcessorTime() {
    return new Slope(
        "processor: watched fleet taken",
        "ns/replica",
        size -> {
          AdmissionCore core = newCore(size);
          List<BackendServer> servers = servers(size);
          return Meter.minimumProcessorNanos(
              100, () -> core.handle(new AdmissionEvent.FleetChanged(servers), 2));
        },
        REPLICA_SIZES,
        List.of(
            new Projection(ENTRY_NODE, "576, each second", WATCHED_REPLICAS, 1, Bound.PROCESSOR)));
  }

  private static Slope requestProcessorTime() {
    return new Slope(
        "processor: requests admitted and ended",
        "ns/request",
        size -> {
          AdmissionCore core = newCore(WATCHED_REPLICAS);
          core.handle(new AdmissionEvent.ListsChanged(limits(States.ACCOUNTS)), 1);
          int[] nextRequest = {0};
          return Meter.minimumProcessorNanos(
              RUNS,
              () -> {
                for (int i = 0; i < size; i++) {
                  runRequest(core, nextRequest[0]++, i % States.ACCOUNTS);
                }
              });
        },
        List.of(2_000, 4_000, 8_000),
        List.of(
            Projection.events(ENTRY_NODE, "21.7 a second", REQUESTS_PER_SECOND, Bound.PROCESSOR)));
  }

  private static Slope loadBytes() {
    return new Slope(
        "bytes: load reports read",
        "B/report",
        size -> {
          double bytes = 0;
          for (int i = 0; i < size; i++) {
            bytes += RESPONSE_HEAD.length() + jsonBytes(loadReportBody(i)).length;
          }
          return bytes;
        },
        List.of(576, 1_152, 2_304),
        List.of(
            new Projection(
                ENTRY_NODE,
                "576 replicas, 4 a second, in",
                WATCHED_REPLICAS * LOAD_READS_PER_SECOND,
                1,
                Bound.BYTES),
            new Projection(
                ENTRY_NODE, "32 replicas, 1 a second, in (if so set)", 32, 1, Bound.BYTES)));
  }

  private static Slope cacheBytes() {
    String empty = "{\"events\": []}";
    return new Slope(
        "bytes: cache events read",
        "B/read",
        size -> (double) size * (REQUEST_HEAD.length() + RESPONSE_HEAD.length() + empty.length()),
        List.of(288, 576, 1_152),
        List.of(
            new Projection(
                ENTRY_NODE,
                "576 replicas, 2 a second, no event, both ways",
                WATCHED_REPLICAS * CACHE_READS_PER_SECOND,
                1,
                Bound.BYTES)));
  }

  private static Slope listBytes() {
    return new Slope(
        "bytes: platform's instance list",
        "B/replica",
        size -> {
          ObjectNode response = Json.object();
          ArrayNode list = response.putArray("instances");
          for (int i = 0; i < size; i++) {
            list.add(instanceListEntry(i));
          }
          return jsonBytes(response).length;
        },
        List.of(850, 1_700, 3_400),
        List.of(
            new Projection(ENTRY_NODE, "6,800, each second, in", States.REPLICAS, 1, Bound.BYTES)));
  }

  private static byte[] jsonBytes(ObjectNode node) {
    return Json.text(node).getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode instanceListEntry(int number) {
    ObjectNode entry = Json.object();
    entry.put("id", States.server(number)).put("pool", "pool-" + number % States.MODELS);
    entry.put("failureDomain", "domain-" + number % 6).put("address", "http://10.0.0.1:8000");
    entry.put("kind", "engine").put("state", "live").put("capacity", "regular");
    entry.put("checksFencing", true).put("role", "mixed");
    entry.putArray("models").add("model-" + number % States.MODELS);
    return entry;
  }

  private static ObjectNode loadReportBody(int number) {
    ObjectNode load = Json.object();
    load.put("engine", States.server(number)).put("role", "mixed").put("model", "model-1");
    load.put("running", 12).put("waiting", 1).put("queuedPromptTokens", 4_321);
    load.put("kvPiecesTotal", 4_000).put("kvPiecesFree", 1_234).put("pieceTokens", 16);
    return load.put("measuredSecondsAgo", 0.25).put("leaving", false);
  }

  private static AdmissionCore newCore(int replicas) {
    PolicyConfiguration configuration =
        PolicyConfiguration.builder().ownFailureDomain(new FailureDomain("domain-0")).build();
    AdmissionCore core = new AdmissionCore(configuration);
    core.handle(new AdmissionEvent.FleetChanged(servers(replicas)), 0);
    for (int i = 0; i < replicas; i++) {
      core.handle(new AdmissionEvent.LoadReported(report(i, 0)), 0);
    }
    return core;
  }

  private static List<BackendServer> servers(int count) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(
          new BackendServer(
              new BackendServerId(States.server(i)),
              new PoolId("pool-" + i % States.MODELS),
              new FailureDomain("domain-" + i % 6),
              "http://10.0.0.1:" + (8_000 + i),
              Set.of(new ItemName("model-" + i % States.MODELS)),
              BackendServer.Capacity.REGULAR,
              BackendServer.State.LIVE));
    }
    return servers;
  }

  private static LoadReport report(int server, long atNanos) {
    return new LoadReport(
        new BackendServerId(States.server(server)),
        atNanos,
        2,
        0,
        500,
        4_000,
        3_000,
        16,
        EngineRole.MIXED);
  }

  private static Map<ClientAccount, PlanLimits> limits(int accounts) {
    Map<ClientAccount, PlanLimits> limits = new HashMap<>();
    for (int i = 0; i < accounts; i++) {
      ClientAccount account = new ClientAccount(States.account(i));
      limits.put(
          account,
          new PlanLimits(account, 1, 0, 1e9, 1e9, 1e6, 1_000, PlanLimits.CheapCapacity.ALLOWED));
    }
    return limits;
  }

  private static void runRequest(AdmissionCore core, int number, int account) {
    int pool = number % States.MODELS;
    WorkRequest work =
        new WorkRequest(
            new RequestId("request-" + number),
            new ClientAccount(States.account(account)),
            new ItemName("model-" + pool),
            new PoolId("pool-" + pool),
            WorkRequest.WorkKind.MODEL_COMPLETION,
            WorkRequest.Repeatability.IDEMPOTENT,
            100,
            200,
            List.of(),
            0,
            Long.MAX_VALUE / 2,
            number * 0x9E3779B97F4A7C15L);
    List<AdmissionAction> actions = core.handle(new AdmissionEvent.RequestArrived(work), 10);
    if (actions.isEmpty() || !(actions.get(0) instanceof AdmissionAction.Dispatch dispatch)) {
      throw new IllegalStateException("request was not dispatched: " + actions);
    }
    core.handle(
        new AdmissionEvent.AttemptFinished(
            dispatch.request(),
            dispatch.attempt(),
            dispatch.server(),
            new AttemptOutcome(null, 200, 5_000_000)),
        10);
  }
}
