package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.RetryTable.Progress;
import org.teaseltrestle.policy.RetryTable.RetryAction;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/** Tests of retries, circuit breakers and ejection. */
public final class RetriesTest {

  private static final int ENGINES = 10;

  private static Harness harness() {
    List<BackendServer> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(Samples.engine("e" + i, "a"));
    }
    return new Harness(
        PolicyConfiguration.builder().build(), engines, Samples.highLimits("north", 1, 0));
  }

  private static WorkRequest work(Harness harness, int number) {
    return Samples.request(
        "r" + number,
        "north",
        10,
        10,
        harness.now + Samples.SECOND,
        Repeatability.IDEMPOTENT,
        number * 0x9E3779B97F4A7C15L);
  }

  /** Guards against a repeated call that may have run, and against a false "not run" statement. */
  public static final class TableTest {

    @Test
    public void atMostOnceCallIsNotRetriedAfterPossibleRun() {
      for (FailureKind failure : FailureKind.values()) {
        for (Progress progress : Progress.values()) {
          RetryAction action = RetryTable.action(failure, Repeatability.AT_MOST_ONCE, progress);
          assertEquals(action == RetryAction.END, RetryTable.mayHaveRun(failure), "" + failure);
        }
        NotRun notRun = RetryTable.refusal(failure).notRun();
        assertEquals(notRun == NotRun.CERTAIN, !RetryTable.mayHaveRun(failure), "" + failure);
      }
    }
  }

  /** Requests that servers refused without running them. */
  public static final class RefusalTest {

    private static final int REQUESTS = 200;

    private static List<BackendServerId> serversOf(Repeatability repeatability, FailureKind kind) {
      Harness harness = harness();
      for (int i = 0; i < REQUESTS; i++) {
        AdmissionAction.Dispatch earlier = Harness.dispatch(harness.arrive(work(harness, -1 - i)));
        harness.finish(earlier, new AttemptOutcome(null, 10, 1_000_000));
      }
      List<BackendServerId> servers = new ArrayList<>();
      List<AdmissionAction> actions =
          harness.arrive(
              Samples.request(
                  "refused", "north", 10, 10, harness.now + Samples.SECOND, repeatability, 1));
      while (!Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty()) {
        AdmissionAction.Dispatch dispatch = Harness.dispatch(actions);
        servers.add(dispatch.server());
        actions = harness.finish(dispatch, new AttemptOutcome(kind, 0, 0));
      }
      return servers;
    }

    /**
     * Guards against a refusal that a server repeats while it runs the request, which would be
     * taken for the answer to the later attempt.
     */
    @Test
    public void atMostOnceRequestIsNotSentAgainToServerThatRefusedIt() {
      for (FailureKind kind : List.of(FailureKind.REFUSED_BUSY, FailureKind.REFUSED_LEAVING)) {
        List<BackendServerId> servers = serversOf(Repeatability.AT_MOST_ONCE, kind);
        assertTrue(servers.size() > 1, kind + " at " + servers);
        assertEquals(new HashSet<>(servers).size(), servers.size(), kind + " at " + servers);
      }
    }

    /** Guards against a wait for servers all of which have refused the request. */
    @Test
    public void requestThatAllServersRefusedIsRefusedAtOnce() {
      Harness harness =
          new Harness(
              PolicyConfiguration.builder().build(),
              List.of(Samples.engine("e0", "a")),
              Samples.highLimits("north", 1, 0));
      List<AdmissionAction> actions =
          harness.arrive(
              Samples.request(
                  "refused",
                  "north",
                  10,
                  10,
                  harness.now + Samples.SECOND,
                  Repeatability.AT_MOST_ONCE,
                  1));
      actions =
          harness.finish(
              Harness.dispatch(actions), new AttemptOutcome(FailureKind.REFUSED_BUSY, 0, 0));
      List<AdmissionAction.Refuse> refusals =
          Harness.actionsOfType(AdmissionAction.Refuse.class, actions);
      assertEquals(refusals.size(), 1);
      assertEquals(refusals.get(0).code().notRun(), NotRun.CERTAIN);
    }
  }

  /** Guards against retry storms, and against lost responses when a failure domain fails. */
  public static final class BudgetTest {

    @Test
    public void retriesStayWithinRatioAndResumptionsMayOverdraw() {
      RetryBudget budget = new RetryBudget(PolicyConfiguration.builder().retryRatio(0.1).build());
      int retries = 0;
      for (int i = 0; i < 10_000; i++) {
        budget.recordRequest();
        retries += budget.takeRetry() ? 1 : 0;
      }
      assertTrue(retries <= 1_010, "retries " + retries);
      assertFalse(budget.takeRetry());
      assertTrue(budget.takeResume());
    }

    @Test
    public void attemptsPerRequestStayBelowLimitWithFailingEngines() {
      Harness harness = harness();
      int attempts = 0;
      int completed = 0;
      int requests = 2_000;
      for (int i = 0; i < requests; i++) {
        harness.now += 10 * Samples.MILLISECOND;
        List<AdmissionAction> actions = harness.arrive(work(harness, i));
        while (!Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty()) {
          AdmissionAction.Dispatch dispatch = Harness.dispatch(actions);
          attempts++;
          boolean fails = dispatch.server().value().compareTo("e3") < 0;
          FailureKind failure = fails ? FailureKind.LOST_BEFORE_ANSWER : null;
          completed += fails ? 0 : 1;
          actions =
              harness.finish(dispatch, new AttemptOutcome(failure, fails ? 0 : 10, 1_000_000));
        }
      }
      assertTrue(attempts <= 1.1 * requests, "attempts " + attempts);
      assertTrue(completed >= 0.99 * requests, "completed " + completed);
    }
  }

  /**
   * Guards against breakers that exclude a complete pool, and against requests to a leaving server.
   */
  public static final class BreakerTest {

    @Test
    public void poolWithOnlyFailingServersStillGetsRequests() {
      Harness harness = harness();
      for (int i = 0; i < 200; i++) {
        List<AdmissionAction> actions = harness.arrive(work(harness, i));
        assertFalse(Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty());
        while (!Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).isEmpty()) {
          actions =
              harness.finish(
                  Harness.dispatch(actions), new AttemptOutcome(FailureKind.CONNECT_FAILED, 0, 0));
        }
      }
    }

    @Test
    public void breakerOpensAndAdmitsSingleProbe() {
      ServerHealth health = new ServerHealth();
      for (int i = 0; i < 3; i++) {
        assertFalse(health.shouldOpen(0));
        health.failed();
      }
      assertTrue(health.shouldOpen(0));
      health.open(0);
      assertEquals(health.state(Samples.SECOND), ServerHealth.State.OPEN);
      assertEquals(health.state(3 * Samples.SECOND), ServerHealth.State.HALF_OPEN);
      health.dispatched();
      assertEquals(health.state(3 * Samples.SECOND), ServerHealth.State.OPEN);
      health.succeeded();
      assertEquals(health.state(3 * Samples.SECOND), ServerHealth.State.CLOSED);
    }

    @Test
    public void serverThatRefusesAsLeavingGetsNoMoreRequests() {
      Harness harness = harness();
      AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work(harness, 0)));
      harness.finish(first, new AttemptOutcome(FailureKind.REFUSED_LEAVING, 0, 0));
      for (int i = 1; i < 100; i++) {
        AdmissionAction.Dispatch next = Harness.dispatch(harness.arrive(work(harness, i)));
        assertFalse(next.server().equals(first.server()));
        harness.finish(next, new AttemptOutcome(null, 10, 1_000_000));
      }
    }
  }
}
