package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/** Tests of the complete admission core. */
public final class AdmissionCoreTest {

  /** An admission core with servers and plan limits, driven at a manual clock. */
  static final class Harness {
    final AdmissionCore core;
    long now = Samples.SECOND;

    Harness(PolicyConfiguration configuration, List<BackendServer> servers, PlanLimits... plans) {
      core = new AdmissionCore(configuration);
      Map<ClientAccount, PlanLimits> limits = new HashMap<>();
      for (PlanLimits plan : plans) {
        limits.put(plan.account(), plan);
      }
      send(new AdmissionEvent.ListsChanged(limits));
      send(new AdmissionEvent.FleetChanged(servers));
    }

    List<AdmissionAction> send(AdmissionEvent event) {
      return core.handle(event, now);
    }

    List<AdmissionAction> arrive(WorkRequest work) {
      return send(new AdmissionEvent.RequestArrived(work));
    }

    List<AdmissionAction> finish(AdmissionAction.Dispatch dispatch, AttemptOutcome outcome) {
      return send(
          new AdmissionEvent.AttemptFinished(
              dispatch.request(), dispatch.attempt(), dispatch.server(), outcome));
    }

    static <T extends AdmissionAction> List<T> actionsOfType(
        Class<T> type, List<AdmissionAction> actions) {
      List<T> found = new ArrayList<>();
      actions.stream().filter(type::isInstance).forEach(action -> found.add(type.cast(action)));
      return found;
    }

    static AdmissionAction.Dispatch dispatch(List<AdmissionAction> actions) {
      List<AdmissionAction.Dispatch> found = actionsOfType(AdmissionAction.Dispatch.class, actions);
      assertEquals(found.size(), 1, "dispatches in " + actions);
      return found.get(0);
    }

    static AdmissionAction.Refuse refusal(List<AdmissionAction> actions) {
      List<AdmissionAction.Refuse> found = actionsOfType(AdmissionAction.Refuse.class, actions);
      assertEquals(found.size(), 1, "refusals in " + actions);
      return found.get(0);
    }
  }

  private static Harness harness() {
    return new Harness(
        PolicyConfiguration.builder().build(),
        List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
        Samples.highLimits("north", 1, 0));
  }

  private static AttemptOutcome failed(FailureKind failure) {
    return new AttemptOutcome(failure, 0, 0);
  }

  /**
   * Guards against a second run of a call that may have run, and against false "not run" refusals.
   */
  public static final class RetryTest {

    @Test
    public void atMostOnceCallIsNotRepeatedAfterPossibleRun() {
      for (FailureKind failure : FailureKind.values()) {
        Harness harness = harness();
        WorkRequest work =
            Samples.request(
                "r", "north", 10, 10, harness.now + Samples.SECOND, Repeatability.AT_MOST_ONCE, 1);
        AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work));
        List<AdmissionAction> actions = harness.finish(first, failed(failure));
        if (RetryTable.mayHaveRun(failure)) {
          assertTrue(
              Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty(),
              "" + failure);
          assertTrue(!Harness.refusal(actions).code().notRun().name().equals("CERTAIN"));
        } else {
          assertTrue(!Harness.dispatch(actions).server().equals(first.server()), "" + failure);
        }
      }
    }

    @Test
    public void refusalAfterEarlierPossibleRunIsNotStatedAsNotRun() {
      Harness harness = harness();
      WorkRequest work = Samples.completion("r", "north", 10, 10, harness.now + Samples.SECOND);
      AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work));
      AdmissionAction.Dispatch second =
          Harness.dispatch(harness.finish(first, failed(FailureKind.LOST_BEFORE_ANSWER)));
      harness.send(new AdmissionEvent.FleetChanged(List.of()));
      List<AdmissionAction> actions = harness.finish(second, failed(FailureKind.CONNECT_FAILED));
      assertEquals(Harness.refusal(actions).code(), RefusalCode.OUTCOME_UNKNOWN);
    }
  }
}
