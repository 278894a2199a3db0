package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.policy.AdmissionCoreTest.Bench;
import org.teaseltrestle.policy.RetryTable.Progress;
import org.teaseltrestle.policy.RetryTable.RetryAction;
import org.teaseltrestle.policy.WorkRequest.Repeatable;
import org.testng.annotations.Test;

/** Tests of retries, breakers and ejection. */
public final class RetriesTest {

  private static final int ENGINES = 10;

  private static Bench bench() {
    List<BackendServer> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(Samples.engine("e" + i, "a"));
    }
    return new Bench(PolicyConfiguration.builder().build(), engines, Samples.wide("north", 1, 0));
  }

  private static WorkRequest work(Bench bench, int number) {
    return Samples.request(
        "r" + number,
        "north",
        10,
        10,
        bench.now + Samples.SECOND,
        Repeatable.IDEMPOTENT,
        number * 0x9E3779B97F4A7C15L);
  }

  /** Guards against a table that repeats a call that may have run, or states "not run" wrongly. */
  public static final class TableTest {

    @Test
    public void everyPossibleRunOfAtMostOnceCallEnds() {
      for (FailureKind failure : FailureKind.values()) {
        for (Progress progress : Progress.values()) {
          RetryAction action = RetryTable.action(failure, Repeatable.AT_MOST_ONCE, progress);
          assertEquals(action == RetryAction.END, RetryTable.mayHaveRun(failure), "" + failure);
        }
        NotRun stated = RetryTable.refusal(failure).notRun();
        assertEquals(stated == NotRun.CERTAIN, !RetryTable.mayHaveRun(failure), "" + failure);
      }
    }
  }

  /** Guards against retry storms, and against answers lost with a failure domain. */
  public static final class BudgetTest {

    @Test
    public void retriesStayWithinRatioAndResumptionsMayOverdraw() {
      RetryBudget budget = new RetryBudget(PolicyConfiguration.builder().retryRatio(0.1).build());
      int retries = 0;
      for (int i = 0; i < 10_000; i++) {
        budget.earn();
        retries += budget.takeRetry() ? 1 : 0;
      }
      assertTrue(retries <= 1_010, "retries " + retries);
      assertFalse(budget.takeRetry());
      assertTrue(budget.takeResume());
    }

    @Test
    public void attemptsPerRequestStayBelowLimitWithFailingEngines() {
      Bench bench = bench();
      int attempts = 0;
      int good = 0;
      int requests = 2_000;
      for (int i = 0; i < requests; i++) {
        bench.now += 10 * Samples.MILLISECOND;
        List<AdmissionAction> actions = bench.arrive(work(bench, i));
        while (!Bench.only(AdmissionAction.Dispatch.class, actions).isEmpty()) {
          AdmissionAction.Dispatch dispatch = Bench.dispatch(actions);
          attempts++;
          boolean fails = dispatch.server().value().compareTo("e3") < 0;
          FailureKind failure = fails ? FailureKind.LOST_BEFORE_ANSWER : null;
          good += fails ? 0 : 1;
          actions = bench.end(dispatch, new AttemptOutcome(failure, fails ? 0 : 10, 1_000_000));
        }
      }
      assertTrue(attempts <= 1.1 * requests, "attempts " + attempts);
      assertTrue(good >= 0.99 * requests, "good " + good);
    }
  }

  /** Guards against a pool emptied by breakers, and against work sent to a leaving server. */
  public static final class BreakerTest {

    @Test
    public void poolWithOnlyFailingServersStillGetsWork() {
      Bench bench = bench();
      for (int i = 0; i < 200; i++) {
        List<AdmissionAction> actions = bench.arrive(work(bench, i));
        assertFalse(Bench.only(AdmissionAction.Dispatch.class, actions).isEmpty());
        while (!Bench.only(AdmissionAction.Dispatch.class, actions).isEmpty()) {
          actions =
              bench.end(
                  Bench.dispatch(actions), new AttemptOutcome(FailureKind.CONNECT_FAILED, 0, 0));
        }
      }
    }

    @Test
    public void opensAndProbesOnceWithRepeatableWork() {
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
    public void serverThatRefusesAsLeavingGetsNothingNew() {
      Bench bench = bench();
      AdmissionAction.Dispatch first = Bench.dispatch(bench.arrive(work(bench, 0)));
      bench.end(first, new AttemptOutcome(FailureKind.REFUSED_LEAVING, 0, 0));
      for (int i = 1; i < 100; i++) {
        AdmissionAction.Dispatch next = Bench.dispatch(bench.arrive(work(bench, i)));
        assertFalse(next.server().equals(first.server()));
        bench.end(next, new AttemptOutcome(null, 10, 1_000_000));
      }
    }
  }
}
