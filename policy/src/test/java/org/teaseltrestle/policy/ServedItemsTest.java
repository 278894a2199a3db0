package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.teaseltrestle.policy.WorkRequest.WorkKind;
import org.testng.annotations.Test;

/** Tests of which servers a request may use by its pool, model and kind. */
public final class ServedItemsTest {

  private static final ItemName NAME_OF_POOL = new ItemName(Samples.POOL.value());

  private static Harness harness(List<BackendServer> servers) {
    return new Harness(
        PolicyConfiguration.builder().build(), servers, Samples.highLimits("north", 1, 0));
  }

  private static WorkRequest work(
      Harness harness, String id, PoolId pool, ItemName item, WorkKind kind) {
    return new WorkRequest(
        new RequestId(id),
        new ClientAccount("north"),
        item,
        pool,
        kind,
        Repeatability.IDEMPOTENT,
        10,
        10,
        List.of(),
        0,
        harness.now + Samples.SECOND,
        7);
  }

  private static boolean isDispatched(List<AdmissionAction> actions) {
    return !Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty();
  }

  /** Guards against a pool that is not served because a caller named a model after the pool. */
  @Test
  public void modelNamedAfterPoolDoesNotHideServers() {
    Harness harness = harness(List.of(Samples.engine("e1", "a")));
    List<AdmissionAction> unknownModel =
        harness.arrive(work(harness, "1", Samples.POOL, NAME_OF_POOL, WorkKind.MODEL_COMPLETION));
    assertTrue(!isDispatched(unknownModel), "no server runs this model");
    List<AdmissionAction> call =
        harness.arrive(work(harness, "2", Samples.POOL, NAME_OF_POOL, WorkKind.SERVICE_CALL));
    assertTrue(isDispatched(call), "a call needs no model");
  }

  /** Guards against a model that is not run here being sent to servers after a plain call. */
  @Test
  public void callDoesNotMakeServersRunUnknownModel() {
    Harness harness = harness(List.of(Samples.engine("e1", "a")));
    assertTrue(
        isDispatched(
            harness.arrive(work(harness, "1", Samples.POOL, NAME_OF_POOL, WorkKind.SERVICE_CALL))));
    assertTrue(
        !isDispatched(
            harness.arrive(
                work(harness, "2", Samples.POOL, NAME_OF_POOL, WorkKind.MODEL_COMPLETION))));
  }

  /** Guards against memory that callers fill with names of models that nothing runs. */
  @Test
  public void unknownModelsAreNotRetained() {
    Fleet fleet = new Fleet(PolicyConfiguration.builder().build());
    fleet.replace(List.of(Samples.engine("e1", "a")), 0);
    Harness harness = harness(List.of());
    for (int i = 0; i < 1_000; i++) {
      ItemName unknown = new ItemName("unknown-" + i);
      WorkRequest work = work(harness, "r", Samples.POOL, unknown, WorkKind.MODEL_COMPLETION);
      RequestState state =
          new RequestState(work, Samples.highLimits("north", 1, 0), i, harness.now);
      assertTrue(fleet.serving(state).isEmpty());
    }
    assertEquals(fleet.retainedKeys(), 0);
  }

  /** Guards against a service that is not served because its servers were listed before. */
  @Test
  public void serversListedBeforeFirstRequestAreUsed() {
    PoolId later = new PoolId("later");
    BackendServer server =
        new BackendServer(
            new BackendServerId("s1"),
            later,
            new FailureDomain("a"),
            "http://127.0.0.1:1",
            Set.of(),
            BackendServer.Capacity.REGULAR,
            BackendServer.State.LIVE);
    Harness harness = harness(List.of(server));
    ItemName item = new ItemName("later");
    assertTrue(
        isDispatched(harness.arrive(work(harness, "1", later, item, WorkKind.SERVICE_CALL))));
    harness.send(new AdmissionEvent.FleetChanged(List.of()));
    assertTrue(
        !isDispatched(harness.arrive(work(harness, "2", later, item, WorkKind.SERVICE_CALL))));
    harness.send(new AdmissionEvent.FleetChanged(List.of(server)));
    assertTrue(
        isDispatched(harness.arrive(work(harness, "3", later, item, WorkKind.SERVICE_CALL))));
  }
}
