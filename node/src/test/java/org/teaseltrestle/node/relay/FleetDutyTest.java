package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpEngineClient;
import org.teaseltrestle.node.backend.HttpPlatformInstances;
import org.teaseltrestle.node.backend.HttpServiceClient;
import org.teaseltrestle.node.fleet.FleetDuty;
import org.teaseltrestle.node.fleet.FleetSettings;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.wire.PlanChange;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The fleet duty against a stand-in platform and engine. */
public final class FleetDutyTest {

  private static final Duration BOUND = Duration.ofSeconds(2);

  private final BackendServerId engineId = new BackendServerId("e1");
  private List<AdmissionEvent> events = List.of();
  private volatile String listState = "live";
  private volatile String cacheEvents = "";
  private StandIn engine = new StandIn(this::answerEngine);
  private StandIn platform = new StandIn(this::answerPlatform);
  private StubControl control = new StubControl();
  private BackendHttp http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1));
  private FleetDuty duty = duty();

  /** Starts a duty with an empty history. */
  @BeforeMethod
  public void start() {
    close();
    listState = "live";
    cacheEvents = "";
    events = new CopyOnWriteArrayList<>();
    engine = new StandIn(this::answerEngine);
    platform = new StandIn(this::answerPlatform);
    control = new StubControl();
    http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1));
    duty = duty();
    duty.start();
    RelayHarness.await(() -> state() == State.LIVE);
  }

  /** Ends everything that was started. */
  @AfterMethod
  public void close() {
    duty.close();
    http.close();
    engine.close();
    platform.close();
  }

  /** Guards against load and cache views that never reach the decisions. */
  @Test
  public void loadAndCacheAreReported() {
    RelayHarness.await(() -> any(AdmissionEvent.LoadReported.class, e -> isReport(e.report())));
    RelayHarness.await(
        () -> any(AdmissionEvent.CacheChanged.class, e -> e.known() && e.added().contains("aa")));
    assertEquals(duty.pieceTokens(new PoolId("models")), 16);
    cacheEvents = "{\"sequence\":9,\"kind\":\"stored\",\"prefixHash\":\"bb\"}";
    RelayHarness.await(() -> any(AdmissionEvent.CacheChanged.class, e -> !e.known()));
  }

  /** Guards against new work for a server that leaves, by each of the signs. */
  @Test
  public void signsOfLeavingCountWithinTwoSeconds() {
    listState = "leaving";
    RelayHarness.await(BOUND, () -> state() == State.LEAVING);
    listState = "live";
    RelayHarness.await(BOUND, () -> state() == State.LIVE);
    control.changes.add(PlanChange.newBuilder().setBackendServer("e1").setKind("replace").build());
    RelayHarness.await(BOUND, () -> state() == State.DRAINING);
    control.changes.clear();
    duty.reportLeaving(engineId);
    RelayHarness.await(BOUND, () -> state() == State.LEAVING);
  }

  /** Guards against a lost list that empties the fleet. */
  @Test
  public void unreachablePlatformLeavesTheFleet() {
    platform.close();
    int seen = events.size();
    RelayHarness.await(
        () ->
            events.stream().skip(seen).filter(AdmissionEvent.FleetChanged.class::isInstance).count()
                >= 2);
    assertEquals(state(), State.LIVE);
  }

  private static boolean isReport(org.teaseltrestle.policy.LoadReport report) {
    long age = System.nanoTime() - report.measuredAtNanos();
    return report.running() == 3
        && report.role() == EngineRole.DECODE
        && age >= Duration.ofMillis(1_500).toNanos();
  }

  private FleetDuty duty() {
    return new FleetDuty(
        FleetSettings.of(new InstanceId("entry-1"), new FailureDomain("caerdydd")),
        control,
        new HttpPlatformInstances(http, platform.address()),
        new HttpEngineClient(http),
        new HttpServiceClient(http),
        MonotonicClock.SYSTEM,
        event -> events.add(event));
  }

  private boolean answerEngine(StandIn.Received request, java.io.OutputStream output)
      throws java.io.IOException {
    String body =
        switch (request.target().replaceAll("\\?.*", "")) {
          case "/load" ->
              "{\"role\":\"decode\",\"running\":3,\"pieceTokens\":16,\"measuredSecondsAgo\":1.5}";
          case "/cache/prefixes" -> "{\"sequence\":7,\"prefixes\":[\"aa\"]}";
          default -> "{\"events\":[" + cacheEvents + "]}";
        };
    StandIn.send(output, 200, "", body);
    return true;
  }

  private boolean answerPlatform(StandIn.Received request, java.io.OutputStream output)
      throws java.io.IOException {
    String body =
        "{\"instances\":[{\"id\":\"bad id\"},{\"id\":\"e1\",\"pool\":\"models\",\"failureDomain\":"
            + "\"caerdydd\",\"kind\":\"engine\",\"models\":[\"pren-7b\"],\"address\":\""
            + engine.address()
            + "\",\"state\":\""
            + listState
            + "\"}]}";
    StandIn.send(output, 200, "", body);
    return true;
  }

  private State state() {
    State state = State.LEAVING;
    for (AdmissionEvent event : events) {
      if (event instanceof AdmissionEvent.FleetChanged changed && !changed.servers().isEmpty()) {
        state = changed.servers().get(0).state();
      }
    }
    return state;
  }

  private <T extends AdmissionEvent> boolean any(Class<T> type, Predicate<T> condition) {
    return events.stream().filter(type::isInstance).map(type::cast).anyMatch(condition);
  }
}
