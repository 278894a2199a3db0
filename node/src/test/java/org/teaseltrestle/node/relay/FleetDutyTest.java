package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

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
import org.teaseltrestle.node.backend.HttpFleetSource;
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

/** Tests of the fleet duty against a fake platform and a fake engine. */
public final class FleetDutyTest {

  private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(2);

  private final BackendServerId engineId = new BackendServerId("e1");
  private List<AdmissionEvent> events = List.of();
  private volatile String instanceState = "live";
  private volatile String cacheEvents = "";
  private FakeServer engine = new FakeServer(this::respondAsEngine);
  private FakeServer platform = new FakeServer(this::respondAsPlatform);
  private StubControl control = new StubControl();
  private BackendHttp http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1));
  private FleetDuty duty = duty();

  /** Starts a new duty and waits until it has read the fleet. */
  @BeforeMethod
  public void start() {
    close();
    instanceState = "live";
    cacheEvents = "";
    events = new CopyOnWriteArrayList<>();
    engine = new FakeServer(this::respondAsEngine);
    platform = new FakeServer(this::respondAsPlatform);
    control = new StubControl();
    http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(1));
    duty = duty();
    duty.start();
    RelayHarness.await(() -> state() == State.LIVE);
  }

  /** Closes the duty, its HTTP client and the fakes. */
  @AfterMethod
  public void close() {
    duty.close();
    http.close();
    engine.close();
    platform.close();
  }

  /** Guards against load reports and cache contents that never reach the admission decisions. */
  @Test
  public void loadAndCacheAreReported() {
    RelayHarness.await(
        () -> anyEvent(AdmissionEvent.LoadReported.class, e -> isExpectedLoad(e.report())));
    RelayHarness.await(
        () ->
            anyEvent(
                AdmissionEvent.CacheChanged.class, e -> e.known() && e.added().contains("aa")));
    assertEquals(duty.pieceTokens(new PoolId("models")), 16);
    cacheEvents = "{\"sequence\":9,\"kind\":\"stored\",\"prefixHash\":\"bb\"}";
    RelayHarness.await(() -> anyEvent(AdmissionEvent.CacheChanged.class, e -> !e.known()));
  }

  /** Guards against new requests to a server that leaves, whichever signal shows it. */
  @Test
  public void leavingSignalsTakeEffectWithinTwoSeconds() {
    instanceState = "leaving";
    RelayHarness.await(SIGNAL_TIMEOUT, () -> state() == State.LEAVING);
    instanceState = "live";
    RelayHarness.await(SIGNAL_TIMEOUT, () -> state() == State.LIVE);
    control.changes.add(PlanChange.newBuilder().setBackendServer("e1").setKind("replace").build());
    RelayHarness.await(SIGNAL_TIMEOUT, () -> state() == State.DRAINING);
    control.changes.clear();
    duty.reportLeaving(engineId);
    RelayHarness.await(SIGNAL_TIMEOUT, () -> state() == State.LEAVING);
  }

  /** Guards against an unreachable platform that empties the fleet. */
  @Test
  public void unreachablePlatformKeepsTheFleet() {
    platform.close();
    int eventsBefore = events.size();
    RelayHarness.await(
        () ->
            events.stream()
                    .skip(eventsBefore)
                    .filter(AdmissionEvent.FleetChanged.class::isInstance)
                    .count()
                >= 2);
    assertEquals(state(), State.LIVE);
  }

  /** Guards against a fleet that counts as known before the admission duty could use it. */
  @Test
  public void fleetIsKnownOnceItHasBeenRead() {
    RelayHarness.await(() -> duty.isKnown());
    platform.close();
    duty.close();
    events.clear();
    duty = duty();
    duty.start();
    RelayHarness.await(() -> anyEvent(AdmissionEvent.FleetChanged.class, e -> true));
    assertFalse(duty.isKnown());
  }

  private static boolean isExpectedLoad(org.teaseltrestle.policy.LoadReport report) {
    long age = System.nanoTime() - report.measuredAtNanos();
    return report.running() == 3
        && report.role() == EngineRole.DECODE
        && age >= Duration.ofMillis(1_500).toNanos();
  }

  private FleetDuty duty() {
    return new FleetDuty(
        FleetSettings.of(new InstanceId("entry-1"), new FailureDomain("caerdydd")),
        control,
        new HttpFleetSource(http, platform.address()),
        new HttpEngineClient(http),
        new HttpServiceClient(http),
        MonotonicClock.SYSTEM,
        event -> events.add(event));
  }

  private boolean respondAsEngine(FakeServer.Received request, java.io.OutputStream output)
      throws java.io.IOException {
    String body =
        switch (request.target().replaceAll("\\?.*", "")) {
          case "/load" ->
              "{\"role\":\"decode\",\"running\":3,\"pieceTokens\":16,\"measuredSecondsAgo\":1.5}";
          case "/cache/prefixes" -> "{\"sequence\":7,\"prefixes\":[\"aa\"]}";
          default -> "{\"events\":[" + cacheEvents + "]}";
        };
    FakeServer.send(output, 200, "", body);
    return true;
  }

  private boolean respondAsPlatform(FakeServer.Received request, java.io.OutputStream output)
      throws java.io.IOException {
    String body =
        "{\"instances\":[{\"id\":\"bad id\"},{\"id\":\"e1\",\"pool\":\"models\",\"failureDomain\":"
            + "\"caerdydd\",\"kind\":\"engine\",\"models\":[\"pren-7b\"],\"address\":\""
            + engine.address()
            + "\",\"state\":\""
            + instanceState
            + "\"}]}";
    FakeServer.send(output, 200, "", body);
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

  private <T extends AdmissionEvent> boolean anyEvent(Class<T> type, Predicate<T> condition) {
    return events.stream().filter(type::isInstance).map(type::cast).anyMatch(condition);
  }
}
