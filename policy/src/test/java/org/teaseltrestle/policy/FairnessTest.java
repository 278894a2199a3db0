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
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests of fair queueing between accounts, early refusal and shedding. */
public final class FairnessTest {

  private static RequestState state(String account, int number, int weight, int priority) {
    return new RequestState(
        Samples.completion(account + number, account, 50, 50, Long.MAX_VALUE),
        Samples.highLimits(account, weight, priority),
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

  /** Guards against an account that takes the share of others in a backlogged pool. */
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
    public void newAccountDoesNotWaitForBacklogOfAnother() {
      FairQueue queue = new FairQueue();
      for (int i = 0; i < 1_000; i++) {
        queue.add(state("heavy", i, 1, 0));
      }
      served(queue, 100);
      queue.add(state("late", 0, 1, 0));
      assertTrue(served(queue, 2).containsKey("late"));
    }

    @Test
    public void actualLengthIsCharged() {
      FairQueue queue = new FairQueue();
      RequestState first = state("long", 0, 1, 0);
      queue.add(first);
      for (int i = 1; i < 100; i++) {
        queue.add(state("long", i, 1, 0));
        queue.add(state("short", i, 1, 0));
      }
      queue.take(first);
      queue.adjustCharge(first, 900);
      assertTrue(served(queue, 10).getOrDefault("long", 0) <= 1);
    }

    @Test
    public void shedsLatestRequestOfLowestPriority() {
      FairQueue queue = new FairQueue();
      queue.add(state("first", 0, 1, 0));
      queue.add(state("last", 1, 1, 2));
      RequestState latest = state("last", 2, 1, 2);
      queue.add(latest);
      assertSame(queue.shedCandidate(1), latest);
      assertEquals(queue.shedCandidate(2), null);
    }
  }

  /** Simulated engines, each serving one request at a time in 20 ms, under a given arrival rate. */
  private static final class Simulation {
    final Harness harness;
    final Map<String, Integer> inTime = new HashMap<>();
    final Map<String, Integer> arrived = new HashMap<>();
    final Map<String, Deque<Running>> running = new HashMap<>();
    int number;

    private record Running(
        AdmissionAction.Dispatch dispatch, long sentAt, long endsAt, WorkRequest work) {}

    Simulation(Queueing queueing) {
      List<BackendServer> engines = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        engines.add(Samples.engine("e" + i, "a"));
      }
      harness =
          new Harness(
              PolicyConfiguration.builder().queueing(queueing).build(),
              engines,
              Samples.highLimits("greedy", 1, 0),
              Samples.highLimits("modest", 1, 2));
    }

    /** Runs for a number of seconds with the given arrivals per second of each account. */
    void run(int seconds, int greedy, int modest) {
      long end = harness.now + seconds * Samples.SECOND;
      for (int tick = 0; harness.now < end; tick++) {
        harness.now += Samples.MILLISECOND;
        finishDueRequests();
        if (tick % 50 == 0) {
          reportLoad();
        }
        arrive("greedy", greedy, tick);
        arrive("modest", modest, tick);
      }
    }

    private void arrive(String account, int perSecond, int tick) {
      int count = (tick + 1) * perSecond / 1_000 - tick * perSecond / 1_000;
      for (int i = 0; i < count; i++) {
        arrived.merge(account, 1, Integer::sum);
        WorkRequest work =
            Samples.request(
                "r" + number,
                account,
                100,
                10,
                harness.now + 980 * Samples.MILLISECOND,
                WorkRequest.Repeatability.IDEMPOTENT,
                number++ * 0x9E3779B97F4A7C15L);
        start(harness.arrive(work), work);
      }
    }

    private final Map<String, WorkRequest> requests = new HashMap<>();

    private void start(List<AdmissionAction> actions, WorkRequest arrived) {
      requests.put(arrived.request().value(), arrived);
      start(actions);
    }

    private void start(List<AdmissionAction> actions) {
      for (AdmissionAction.Dispatch dispatch :
          Harness.actionsOfType(AdmissionAction.Dispatch.class, actions)) {
        Deque<Running> queue =
            running.computeIfAbsent(dispatch.server().value(), key -> new ArrayDeque<>());
        long freeAt = queue.isEmpty() ? 0 : queue.getLast().endsAt();
        long startsAt = Math.max(freeAt, harness.now);
        WorkRequest work = Objects.requireNonNull(requests.get(dispatch.request().value()));
        queue.add(new Running(dispatch, harness.now, startsAt + 20 * Samples.MILLISECOND, work));
      }
    }

    private void finishDueRequests() {
      for (Deque<Running> queue : running.values()) {
        while (!queue.isEmpty() && queue.getFirst().endsAt() <= harness.now) {
          Running done = queue.removeFirst();
          if (done.endsAt() <= done.work().firstTokenDeadlineNanos()) {
            inTime.merge(done.work().account().value(), 1, Integer::sum);
          }
          long first = done.endsAt() - done.sentAt();
          start(harness.finish(done.dispatch(), new AttemptOutcome(null, 10, first)));
        }
      }
    }

    private void reportLoad() {
      running.forEach(
          (server, queue) -> {
            int waiting = Math.max(0, queue.size() - 1);
            harness.send(
                new AdmissionEvent.LoadReported(
                    new LoadReport(
                        new BackendServerId(server),
                        harness.now,
                        Math.min(1, queue.size()),
                        waiting,
                        100 * waiting,
                        1_000,
                        900,
                        16,
                        EngineRole.MIXED)));
          });
    }

    int totalInTime() {
      return inTime.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /** Guards against collapse of goodput under overload, and against starvation of accounts. */
  public static final class OverloadTest {

    @Test
    public void goodputAtTwiceCapacityStaysNearPeak() {
      Simulation peak = new Simulation(Queueing.FAIR);
      peak.run(20, 95, 95);
      Simulation twice = new Simulation(Queueing.FAIR);
      twice.run(20, 200, 200);
      String result = "goodput " + twice.totalInTime() + " of " + peak.totalInTime();
      assertTrue(twice.totalInTime() >= 0.9 * peak.totalInTime(), result);
      Simulation baseline = new Simulation(Queueing.FIRST_COME);
      baseline.run(20, 200, 200);
      Reporter.log(result + ", first come " + baseline.totalInTime(), true);
      assertTrue(
          baseline.totalInTime() < 0.5 * peak.totalInTime(),
          "first come " + baseline.totalInTime());
    }

    @Test
    public void accountAtTenTimesItsShareDoesNotReduceShareOfOthers() {
      Simulation overload = new Simulation(Queueing.FAIR);
      overload.run(20, 1_000, 80);
      int inTime = overload.inTime.getOrDefault("modest", 0);
      int arrived = overload.arrived.getOrDefault("modest", 0);
      String result = "in time " + inTime + " of " + arrived;
      assertTrue(inTime >= 0.95 * arrived, result);
      Simulation baseline = new Simulation(Queueing.FIRST_COME);
      baseline.run(20, 1_000, 80);
      int inTimeBaseline = baseline.inTime.getOrDefault("modest", 0);
      Reporter.log(result + ", first come " + inTimeBaseline, true);
      assertTrue(inTimeBaseline < 0.5 * arrived, "first come " + inTimeBaseline);
    }
  }

  /** Guards against requests that wait beyond their deadline, and against unnecessary refusals. */
  public static final class DeadlineTest {

    @Test
    public void missedDeadlineIsRefusedAsNotRun() {
      Harness harness = harness();
      WorkRequest late = Samples.completion("r", "north", 10, 10, harness.now);
      assertEquals(Harness.refusal(harness.arrive(late)).code(), RefusalCode.DEADLINE_UNREACHABLE);
    }

    @Test
    public void waitingRequestExpiresAtDeadline() {
      Harness harness = harness();
      for (int i = 0; i < 8; i++) {
        Harness.dispatch(harness.arrive(completion(harness, i)));
      }
      assertEquals(harness.arrive(completion(harness, 8)), List.of());
      harness.now += Samples.SECOND;
      List<AdmissionAction> actions = harness.send(new AdmissionEvent.Tick());
      assertEquals(Harness.refusal(actions).code(), RefusalCode.QUEUE_TIMEOUT);
    }

    @Test
    public void idleTimeDoesNotLowerDrainRate() {
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

    private static Harness harness() {
      return new Harness(
          PolicyConfiguration.builder().build(),
          List.of(Samples.engine("e1", "a")),
          Samples.highLimits("north", 1, 0));
    }

    private static WorkRequest completion(Harness harness, int number) {
      return Samples.completion("r" + number, "north", 10, 10, harness.now + Samples.SECOND);
    }
  }
}
