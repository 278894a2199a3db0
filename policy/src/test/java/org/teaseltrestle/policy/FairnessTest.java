package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionCoreTest.Bench;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests of queueing between accounts, early refusal and shedding. */
public final class FairnessTest {

  private static RequestState state(String account, int number, int weight, int priority) {
    return new RequestState(
        Samples.completion(account + number, account, 50, 50, Long.MAX_VALUE),
        Samples.wide(account, weight, priority),
        number,
        Long.MAX_VALUE);
  }

  private static Map<String, Integer> served(RequestQueue queue, int dispatches) {
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < dispatches; i++) {
      RequestState next = queue.next(1).get(0);
      queue.take(next);
      served.merge(next.work.account().value(), 1, Integer::sum);
    }
    return served;
  }

  /** Guards against an account that takes the others' share of a backlogged pool. */
  public static final class FairQueueTest {

    @Test
    public void backloggedAccountsGetWorkByWeight() {
      FairQueue queue = new FairQueue();
      for (int i = 0; i < 1_000; i++) {
        queue.add(state("heavy", i, 1, 0));
        queue.add(state("light", i, 3, 0));
      }
      Map<String, Integer> served = served(queue, 400);
      assertEquals(served.getOrDefault("light", 0), 300, 2.0);
    }

    @Test
    public void lateAccountIsNotBehindBacklogOfAnother() {
      FairQueue queue = new FairQueue();
      for (int i = 0; i < 1_000; i++) {
        queue.add(state("heavy", i, 1, 0));
      }
      served(queue, 100);
      queue.add(state("late", 0, 1, 0));
      assertTrue(served(queue, 2).containsKey("late"));
    }

    @Test
    public void realLengthIsCharged() {
      FairQueue queue = new FairQueue();
      RequestState first = state("long", 0, 1, 0);
      queue.add(first);
      for (int i = 1; i < 100; i++) {
        queue.add(state("long", i, 1, 0));
        queue.add(state("short", i, 1, 0));
      }
      queue.take(first);
      queue.correct(first, 900);
      assertTrue(served(queue, 10).getOrDefault("long", 0) <= 1);
    }

    @Test
    public void shedsNewestOfLowestPriority() {
      FairQueue queue = new FairQueue();
      queue.add(state("first", 0, 1, 0));
      queue.add(state("last", 1, 1, 2));
      RequestState newest = state("last", 2, 1, 2);
      queue.add(newest);
      assertSame(queue.shedCandidate(1), newest);
      assertEquals(queue.shedCandidate(2), null);
    }
  }

  /** Engines that serve one request after another in 20 ms, driven at a rate of arrivals. */
  private static final class Overload {
    final Bench bench;
    final Map<String, Integer> good = new HashMap<>();
    final Map<String, Integer> asked = new HashMap<>();
    final Map<String, Deque<Running>> running = new HashMap<>();
    int number;

    private record Running(
        AdmissionAction.Dispatch dispatch, long sentAt, long endsAt, WorkRequest work) {}

    Overload(Queueing queueing) {
      List<BackendServer> engines = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        engines.add(Samples.engine("e" + i, "a"));
      }
      bench =
          new Bench(
              PolicyConfiguration.builder().queueing(queueing).build(),
              engines,
              Samples.wide("greedy", 1, 0),
              Samples.wide("modest", 1, 2));
    }

    /** Runs for a number of seconds with this many arrivals a second of each account. */
    void run(int seconds, int greedy, int modest) {
      long end = bench.now + seconds * Samples.SECOND;
      for (int tick = 0; bench.now < end; tick++) {
        bench.now += Samples.MILLISECOND;
        finishDue();
        if (tick % 50 == 0) {
          report();
        }
        arrive("greedy", greedy, tick);
        arrive("modest", modest, tick);
      }
    }

    private void arrive(String account, int perSecond, int tick) {
      int count = (tick + 1) * perSecond / 1_000 - tick * perSecond / 1_000;
      for (int i = 0; i < count; i++) {
        asked.merge(account, 1, Integer::sum);
        WorkRequest work =
            Samples.request(
                "r" + number,
                account,
                100,
                10,
                bench.now + 980 * Samples.MILLISECOND,
                WorkRequest.Repeatable.IDEMPOTENT,
                number++ * 0x9E3779B97F4A7C15L);
        start(bench.arrive(work), work);
      }
    }

    private final Map<String, WorkRequest> works = new HashMap<>();

    private void start(List<AdmissionAction> actions, WorkRequest arrived) {
      works.put(arrived.request().value(), arrived);
      start(actions);
    }

    private void start(List<AdmissionAction> actions) {
      for (AdmissionAction.Dispatch dispatch :
          Bench.only(AdmissionAction.Dispatch.class, actions)) {
        Deque<Running> queue =
            running.computeIfAbsent(dispatch.server().value(), key -> new ArrayDeque<>());
        long free = queue.isEmpty() ? 0 : queue.getLast().endsAt();
        long starts = Math.max(free, bench.now);
        WorkRequest work = Objects.requireNonNull(works.get(dispatch.request().value()));
        queue.add(new Running(dispatch, bench.now, starts + 20 * Samples.MILLISECOND, work));
      }
    }

    private void finishDue() {
      for (Deque<Running> queue : running.values()) {
        while (!queue.isEmpty() && queue.getFirst().endsAt() <= bench.now) {
          Running done = queue.removeFirst();
          if (done.endsAt() <= done.work().firstTokenDeadlineNanos()) {
            good.merge(done.work().account().value(), 1, Integer::sum);
          }
          long first = done.endsAt() - done.sentAt();
          start(bench.end(done.dispatch(), new AttemptOutcome(null, 10, first)));
        }
      }
    }

    private void report() {
      running.forEach(
          (server, queue) -> {
            int waiting = Math.max(0, queue.size() - 1);
            bench.send(
                new AdmissionEvent.LoadReported(
                    new LoadReport(
                        new BackendServerId(server),
                        bench.now,
                        Math.min(1, queue.size()),
                        waiting,
                        100 * waiting,
                        1_000,
                        900,
                        16,
                        EngineRole.MIXED)));
          });
    }

    int total() {
      return good.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /** Guards against goodput that collapses under overload, and against starved accounts. */
  public static final class OverloadTest {

    @Test
    public void goodputAtTwiceCapacityStaysNearPeak() {
      Overload peak = new Overload(Queueing.FAIR);
      peak.run(20, 95, 95);
      Overload twice = new Overload(Queueing.FAIR);
      twice.run(20, 200, 200);
      String figures = "goodput " + twice.total() + " of " + peak.total();
      assertTrue(twice.total() >= 0.9 * peak.total(), figures);
      Overload baseline = new Overload(Queueing.FIRST_COME);
      baseline.run(20, 200, 200);
      Reporter.log(figures + ", first come " + baseline.total(), true);
      assertTrue(baseline.total() < 0.5 * peak.total(), "first come " + baseline.total());
    }

    @Test
    public void accountAtTenTimesItsShareLeavesOthersTheirs() {
      Overload overload = new Overload(Queueing.FAIR);
      overload.run(20, 1_000, 80);
      int good = overload.good.getOrDefault("modest", 0);
      int asked = overload.asked.getOrDefault("modest", 0);
      String figures = "good " + good + " of " + asked;
      assertTrue(good >= 0.95 * asked, figures);
      Overload baseline = new Overload(Queueing.FIRST_COME);
      baseline.run(20, 1_000, 80);
      int goodBaseline = baseline.good.getOrDefault("modest", 0);
      Reporter.log(figures + ", first come " + goodBaseline, true);
      assertTrue(goodBaseline < 0.5 * asked, "first come " + goodBaseline);
    }
  }

  /** Guards against requests that wait in vain, and against refusals without cause. */
  public static final class DeadlineTest {

    @Test
    public void missedDeadlineIsRefusedAsNotRun() {
      Bench bench = bench();
      WorkRequest late = Samples.completion("r", "north", 10, 10, bench.now);
      assertEquals(Bench.refusal(bench.arrive(late)).code(), RefusalCode.DEADLINE_UNREACHABLE);
    }

    @Test
    public void waitEndsAtDeadline() {
      Bench bench = bench();
      for (int i = 0; i < 8; i++) {
        Bench.dispatch(bench.arrive(completion(bench, i)));
      }
      assertEquals(bench.arrive(completion(bench, 8)), List.of());
      bench.now += Samples.SECOND;
      List<AdmissionAction> actions = bench.send(new AdmissionEvent.Tick());
      assertEquals(Bench.refusal(actions).code(), RefusalCode.QUEUE_TIMEOUT);
    }

    @Test
    public void idleTimeIsNotTakenForSlowness() {
      DrainRate drain = new DrainRate();
      for (int i = 1; i <= 20; i++) {
        drain.dispatched(100, true, i * Samples.MILLISECOND);
      }
      drain.idle();
      drain.dispatched(100, true, 60 * Samples.SECOND);
      long time = drain.timeFor(100, 60 * Samples.SECOND);
      assertTrue(Math.abs(time - Samples.MILLISECOND) < 1_000, "time " + time);
      assertTrue(drain.timeFor(100, 61 * Samples.SECOND) > 10 * Samples.MILLISECOND);
    }

    private static Bench bench() {
      return new Bench(
          PolicyConfiguration.builder().build(),
          List.of(Samples.engine("e1", "a")),
          Samples.wide("north", 1, 0));
    }

    private static WorkRequest completion(Bench bench, int number) {
      return Samples.completion("r" + number, "north", 10, 10, bench.now + Samples.SECOND);
    }
  }
}
