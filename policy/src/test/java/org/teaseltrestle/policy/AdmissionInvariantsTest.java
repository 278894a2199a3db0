package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.WorkRequest.Repeatable;
import org.testng.annotations.Test;

/**
 * Random events against a record of what was asked and answered. Guards against requests that end
 * never or twice, second runs of calls that may have run, untrue refusals, work for leaving
 * servers, and limits or queues that are exceeded. The first seed is the property {@code
 * trestle.seed}.
 */
public final class AdmissionInvariantsTest {

  private static final int SEEDS = 60;
  private static final int EVENTS = 3_000;
  private static final int ACCOUNTS = 5;
  private static final int QUEUE = 20;
  private static final int OPEN = 8;
  private static final double RATE = 5_000;
  private static final double BURST = 5_000;
  private static final int LARGEST = 1_000;

  @Test
  public void invariantsHold() {
    long first = Long.getLong("trestle.seed", 1);
    for (long seed = first; seed < first + SEEDS; seed++) {
      ReplicaChoice choice = ReplicaChoice.values()[(int) (seed % 3)];
      Queueing queueing = Queueing.values()[(int) (seed / 3 % 2)];
      try {
        new Run(new Random(seed), choice, queueing).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + " " + choice + " " + queueing + ": " + e, e);
      }
    }
  }

  private static final class Tracked {
    final WorkRequest work;
    AdmissionAction.@Nullable Dispatch running;
    int attempts;
    boolean mayHaveRun;
    int ends;

    Tracked(WorkRequest work) {
      this.work = work;
    }
  }

  private static final class Run {
    final Random random;
    final AdmissionCore core;
    final Map<RequestId, Tracked> requests = new HashMap<>();
    final Map<BackendServerId, Long> leavingUntil = new HashMap<>();
    final Map<ClientAccount, Double> workRun = new HashMap<>();
    Set<BackendServerId> live = new HashSet<>();
    long now = Samples.SECOND;

    Run(Random random, ReplicaChoice choice, Queueing queueing) {
      this.random = random;
      this.core =
          new AdmissionCore(
              PolicyConfiguration.builder()
                  .replicaChoice(choice)
                  .queueing(queueing)
                  .maximumQueuedRequests(QUEUE)
                  .maximumRunningPerServer(4)
                  .build());
    }

    void run() {
      Map<ClientAccount, PlanLimits> limits = new HashMap<>();
      for (int i = 0; i < ACCOUNTS; i++) {
        ClientAccount account = new ClientAccount("account-" + i);
        PlanLimits.CheapCapacity cheap = PlanLimits.CheapCapacity.values()[i % 2];
        limits.put(account, new PlanLimits(account, 1 + i, i % 3, RATE, BURST, 1_000, OPEN, cheap));
      }
      send(new AdmissionEvent.ListsChanged(limits));
      changeFleet();
      for (int i = 0; i < EVENTS; i++) {
        now += random.nextInt(3_000_000);
        step(i);
        check();
      }
      drain();
      double seconds = (double) (now - Samples.SECOND) / Samples.SECOND;
      workRun.forEach(
          (account, work) ->
              assertTrue(work <= BURST + RATE * seconds + LARGEST, account + " ran " + work));
    }

    private void step(int number) {
      int kind = random.nextInt(100);
      List<Tracked> running = running();
      if (kind < 45) {
        arrive(number);
      } else if (kind < 85 && !running.isEmpty()) {
        finish(running.get(random.nextInt(running.size())), randomFailure());
      } else if (kind < 88) {
        List<RequestId> known = new ArrayList<>(requests.keySet());
        if (!known.isEmpty()) {
          leave(known.get(random.nextInt(known.size())));
        }
      } else if (kind < 92) {
        report();
      } else if (kind < 94) {
        changeFleet();
      } else if (kind < 95 && random.nextInt(20) == 0) {
        BackendServerId server = server(random.nextInt(8));
        leavingUntil.put(server, now + 30 * Samples.SECOND);
        send(new AdmissionEvent.ServerLeaving(server));
      } else if (kind < 96 && random.nextInt(5) == 0) {
        send(new AdmissionEvent.RequestsRevoked(new HashSet<>(requests.keySet())));
      } else {
        send(new AdmissionEvent.Tick());
      }
    }

    private void arrive(int number) {
      Repeatable repeatable =
          random.nextBoolean() ? Repeatable.IDEMPOTENT : Repeatable.AT_MOST_ONCE;
      WorkRequest work =
          Samples.request(
              "r" + number,
              "account-" + random.nextInt(ACCOUNTS),
              1 + random.nextInt(LARGEST / 2),
              1 + random.nextInt(LARGEST / 2 - 1),
              now + random.nextInt(1_000) * Samples.MILLISECOND,
              repeatable,
              random.nextLong());
      requests.put(work.request(), new Tracked(work));
      send(new AdmissionEvent.RequestArrived(work));
    }

    private @Nullable FailureKind randomFailure() {
      FailureKind[] kinds = FailureKind.values();
      FailureKind kind = kinds[random.nextInt(kinds.length)];
      // A leaving server is shut out for long; with more of them the fleet would soon be empty.
      boolean rare = kind == FailureKind.REFUSED_LEAVING && random.nextInt(30) > 0;
      return rare || random.nextInt(100) < 70 ? null : kind;
    }

    private void finish(Tracked request, @Nullable FailureKind failure) {
      AdmissionAction.Dispatch dispatch = Objects.requireNonNull(request.running);
      request.running = null;
      int tokens = request.work.expectedOutputTokens();
      if (failure == null) {
        if (request.ends == 0) {
          request.ends++;
        }
        workRun.merge(
            request.work.account(), (double) request.work.promptTokens() + tokens, Double::sum);
      } else {
        request.mayHaveRun |= RetryTable.mayHaveRun(failure);
        if (failure == FailureKind.REFUSED_LEAVING) {
          leavingUntil.put(dispatch.server(), now + 30 * Samples.SECOND);
        }
        tokens = failure == FailureKind.LOST_DURING_ANSWER ? 1 : 0;
      }
      AttemptOutcome outcome = new AttemptOutcome(failure, tokens, Samples.MILLISECOND);
      send(
          new AdmissionEvent.AttemptFinished(
              dispatch.request(), dispatch.attempt(), dispatch.server(), outcome));
    }

    private void leave(RequestId id) {
      Tracked request = Objects.requireNonNull(requests.get(id));
      if (request.ends == 0) {
        request.ends++;
        send(new AdmissionEvent.CallerLeft(id));
      }
    }

    private void report() {
      int free = random.nextInt(1_000);
      send(
          new AdmissionEvent.LoadReported(
              Samples.load("e" + random.nextInt(8), now, random.nextInt(4), 100, free)));
    }

    private void changeFleet() {
      List<BackendServer> servers = new ArrayList<>();
      live = new HashSet<>();
      for (int i = 0; i < 8; i++) {
        int fate = random.nextInt(10);
        if (fate > 0) {
          BackendServer.State state =
              fate > 2 ? BackendServer.State.LIVE : BackendServer.State.values()[fate];
          BackendServer.Capacity capacity = BackendServer.Capacity.values()[i % 2];
          servers.add(Samples.engine("e" + i, "a", capacity, state));
          if (state == BackendServer.State.LIVE) {
            live.add(server(i));
          }
        }
      }
      send(new AdmissionEvent.FleetChanged(servers));
    }

    private void send(AdmissionEvent event) {
      for (AdmissionAction action : core.handle(event, now)) {
        if (action instanceof AdmissionAction.Dispatch dispatch) {
          onDispatch(dispatch);
        } else if (action instanceof AdmissionAction.Refuse refuse) {
          onRefuse(refuse);
        } else if (action instanceof AdmissionAction.CancelAttempt cancel) {
          assertNotNull(Objects.requireNonNull(requests.get(cancel.request())).running);
        }
      }
    }

    private void onDispatch(AdmissionAction.Dispatch dispatch) {
      Tracked request = Objects.requireNonNull(requests.get(dispatch.request()));
      assertEquals(request.ends, 0, "dispatched after its end: " + dispatch);
      assertEquals(request.running, null, "two attempts at once: " + dispatch);
      assertEquals(dispatch.attempt(), ++request.attempts);
      boolean once = request.work.repeatable() == Repeatable.AT_MOST_ONCE;
      assertFalse(once && request.mayHaveRun, "second run: " + dispatch);
      assertTrue(live.contains(dispatch.server()), "not live: " + dispatch);
      assertTrue(now >= leavingUntil.getOrDefault(dispatch.server(), 0L), "leaving: " + dispatch);
      request.running = dispatch;
    }

    private void onRefuse(AdmissionAction.Refuse refuse) {
      Tracked request = Objects.requireNonNull(requests.get(refuse.request()));
      assertEquals(request.running, null, "refused while running: " + refuse);
      boolean certain = refuse.code().notRun() == NotRun.CERTAIN;
      assertFalse(certain && request.mayHaveRun, "untrue refusal: " + refuse);
      Duration after = refuse.retryAfter();
      assertTrue(after == null || !after.isNegative());
      request.ends++;
      assertEquals(request.ends, 1, "ended twice: " + refuse);
    }

    private void check() {
      Map<ClientAccount, Integer> open = new HashMap<>();
      int waiting = 0;
      for (Tracked request : requests.values()) {
        if (request.ends == 0) {
          open.merge(request.work.account(), 1, Integer::sum);
          waiting += request.running == null && request.attempts == 0 ? 1 : 0;
        }
      }
      open.forEach((account, count) -> assertTrue(count <= OPEN, account + " open " + count));
      assertTrue(waiting <= QUEUE, "waiting " + waiting);
    }

    private void drain() {
      if (random.nextBoolean()) {
        // Without servers the waiting requests can only end by their time in the queue.
        live = new HashSet<>();
        send(new AdmissionEvent.FleetChanged(List.of()));
      }
      while (!running().isEmpty()) {
        finish(running().get(0), null);
      }
      now += 10 * Samples.SECOND;
      send(new AdmissionEvent.Tick());
      while (!running().isEmpty()) {
        finish(running().get(0), null);
      }
      assertEquals(core.openRequests(), 0);
      requests.values().forEach(request -> assertEquals(request.ends, 1, "" + request.work));
    }

    private List<Tracked> running() {
      List<Tracked> running = new ArrayList<>();
      requests.values().stream().filter(r -> r.running != null).forEach(running::add);
      running.sort((left, right) -> left.work.request().compareTo(right.work.request()));
      return running;
    }

    private static BackendServerId server(int number) {
      return new BackendServerId("e" + number);
    }
  }
}
