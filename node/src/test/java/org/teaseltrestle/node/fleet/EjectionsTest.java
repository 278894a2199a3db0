package org.teaseltrestle.node.fleet;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionCore;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.PlanLimits;
import org.teaseltrestle.policy.PolicyConfiguration;
import org.teaseltrestle.policy.WorkRequest;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.teaseltrestle.policy.WorkRequest.WorkKind;
import org.testng.annotations.Test;

/** Tests of which servers are used while some are ejected after a lost connection. */
public final class EjectionsTest {

  private static final PoolId POOL = new PoolId("models");
  private static final ItemName MODEL = new ItemName("pren-7b");
  private static final ItemName OTHER_MODEL = new ItemName("pren-70b");
  private static final ClientAccount ACCOUNT = new ClientAccount("north");
  private static final long NOW_NANOS = 1_000_000_000L;

  private static ListedServer engine(
      String id, ItemName model, Capacity capacity, EngineRole role) {
    BackendServer server =
        new BackendServer(
            new BackendServerId(id),
            POOL,
            new FailureDomain("caerdydd"),
            "http://127.0.0.1:1",
            Set.of(model),
            capacity,
            BackendServer.State.LIVE,
            role);
    return new ListedServer(server, ListedServer.Kind.ENGINE);
  }

  /** Returns what a request of an account that never uses preemptible servers leads to. */
  private static List<AdmissionAction> ask(
      List<ListedServer> listed, ServerObservations observations) {
    AdmissionCore core = new AdmissionCore(PolicyConfiguration.builder().build());
    PlanLimits limits =
        new PlanLimits(ACCOUNT, 1, 0, 1e9, 1e9, 1e6, 1_000, PlanLimits.CheapCapacity.NEVER);
    core.handle(new AdmissionEvent.ListsChanged(Map.of(ACCOUNT, limits)), NOW_NANOS);
    List<BackendServer> servers = FleetStates.of(listed, observations, List.of(), NOW_NANOS);
    core.handle(new AdmissionEvent.FleetChanged(servers), NOW_NANOS);
    WorkRequest request =
        new WorkRequest(
            new RequestId("r"),
            ACCOUNT,
            MODEL,
            POOL,
            WorkKind.MODEL_COMPLETION,
            Repeatability.IDEMPOTENT,
            10,
            10,
            List.of(),
            0,
            2 * NOW_NANOS,
            7);
    return core.handle(new AdmissionEvent.RequestArrived(request), NOW_NANOS);
  }

  /** Returns the servers that a request is sent to while one or more are ejected. */
  private static List<String> serversAsked(Set<String> ejected, ListedServer... listed) {
    ServerObservations observations = new ServerObservations(10 * NOW_NANOS);
    ejected.forEach(id -> observations.markLost(new BackendServerId(id), NOW_NANOS));
    return ask(List.of(listed), observations).stream()
        .filter(AdmissionAction.Dispatch.class::isInstance)
        .map(action -> ((AdmissionAction.Dispatch) action).server().value())
        .toList();
  }

  /** Guards against refusals while the only server that is not ejected is preemptible. */
  @Test
  public void ejectedServerIsUsedIfOthersArePreemptible() {
    assertEquals(
        serversAsked(
            Set.of("a"),
            engine("a", MODEL, Capacity.REGULAR, EngineRole.MIXED),
            engine("b", MODEL, Capacity.CHEAP, EngineRole.MIXED)),
        List.of("a"));
  }

  /** Guards against refusals while the only server that is not ejected runs another model. */
  @Test
  public void ejectedServerIsUsedIfOthersRunAnotherModel() {
    assertEquals(
        serversAsked(
            Set.of("a"),
            engine("a", MODEL, Capacity.REGULAR, EngineRole.MIXED),
            engine("b", OTHER_MODEL, Capacity.REGULAR, EngineRole.MIXED)),
        List.of("a"));
  }

  /** Guards against refusals while the only server that is not ejected prefills for others. */
  @Test
  public void ejectedServerIsUsedIfOthersOnlyPrefill() {
    assertEquals(
        serversAsked(
            Set.of("a"),
            engine("a", MODEL, Capacity.REGULAR, EngineRole.MIXED),
            engine("b", MODEL, Capacity.REGULAR, EngineRole.PREFILL_ONLY)),
        List.of("a"));
  }

  /** Guards against ejections that empty a pool. */
  @Test
  public void ejectedServersAreUsedIfAllAre() {
    assertEquals(
        serversAsked(
                Set.of("a", "b"),
                engine("a", MODEL, Capacity.REGULAR, EngineRole.MIXED),
                engine("b", MODEL, Capacity.REGULAR, EngineRole.MIXED))
            .size(),
        1);
  }

  /** Guards against work for an ejected server while another one may run it. */
  @Test
  public void ejectedServerIsNotUsedBesideOthers() {
    assertEquals(
        serversAsked(
            Set.of("a"),
            engine("a", MODEL, Capacity.REGULAR, EngineRole.MIXED),
            engine("b", MODEL, Capacity.REGULAR, EngineRole.MIXED)),
        List.of("b"));
  }
}
