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
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/**
 * Sends random events and checks the actions against a model of all requests. Guards against
 * requests that never end or end twice, second runs of calls that may have run, false "not run"
 * refusals, requests to leaving servers, and exceeded limits or queues. The system property {@code
 * trestle.seed} sets the first seed.
 */
public final class AdmissionInvariantsTest {

  private static final int SEEDS = 60;
  private static final int EVENTS_PER_SEED = 3_000;
  private static final int ACCOUNTS = 5;
  private static final int MAXIMUM_QUEUED = 20;
  private static final int MAXIMUM_OPEN = 8;
  private static final double TOKENS_PER_SECOND = 5_000;
  private static final double BURST_TOKENS = 5_000;
  private static final int MAXIMUM_WORK_TOKENS = 1_000;

  @Test
  public void invariantsHold() {
    long first = Long.getLong("trestle.seed", 1);
    for (long seed = first; seed < first + SEEDS; seed++) {
      ReplicaChoice choice = ReplicaChoice.values()[(int) (seed % 3)];
      Queueing queueing = Queueing.values()[(int) (seed / 3 % 2)];
      try {
        new Simulation(new Random(seed), choice, queueing).run();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + " " + choice + " " + queueing + ": " + e, e);
      }
    }
  }

  private static final class TrackedRequest {
    final WorkRequest work;
    AdmissionAction.@Nullable Dispatch running;
    int attempts;
    boolean mayHaveRun;
    final Set<BackendServerId> refusedBy = new HashSet<>();
    int ends;

    TrackedRequest(WorkRequest work) {
      this.work = work;
    }
  }

  private static final class Simulation {
    final Random random;
    final AdmissionCore core;
    final Map<RequestId, TrackedRequest> requests = new HashMap<>();
    final Map<BackendServerId, Long> leavingUntil = new HashMap<>();
    final Map<ClientAccount, PlanLimits.CheapCapacity> cheapCapacity = new HashMap<>();
    final Map<ClientAccount, Double> workRun = new HashMap<>();
    final Set<BackendServerId> cheap = new HashSet<>();
    Set<BackendServerId> live = new HashSet<>();
    Set<BackendServerId> ejected = new HashSet<>();
    long now = Samples.SECOND;

    Simulation(Random random, ReplicaChoice choice, Queueing queueing) {
      this.random = random;
      this.core =
          new AdmissionCore(
              PolicyConfiguration.builder()
                  .replicaChoice(choice)
                  .queueing(queueing)
                  .maximumQueuedRequests(MAXIMUM_QUEUED)
                  .maximumRunningPerServer(4)
                  .build());
    }

    void run() {
      Map<ClientAccount, PlanLimits> limits = new HashMap<>();
      for (int i = 0; i < ACCOUNTS; i++) {
        ClientAccount account = new ClientAccount("account-" + i);
        cheapCapacity.put(account, PlanLimits.CheapCapacity.values()[i % 2]);
        limits.put(
            account,
            new PlanLimits(
                account,
                1 + i,
                i % 3,
                TOKENS_PER_SECOND,
                BURST_TOKENS,
                1_000,
                MAXIMUM_OPEN,
                Objects.requireNonNull(cheapCapacity.get(account))));
      }
      send(new AdmissionEvent.ListsChanged(limits));
      changeFleet();
      for (int i = 0; i < EVENTS_PER_SEED; i++) {
        now += random.nextInt(3_000_000);
        sendRandomEvent(i);
        checkLimits();
      }
      endAllRequests();
      double seconds = (double) (now - Samples.SECOND) / Samples.SECOND;
      workRun.forEach(
          (account, work) ->
              assertTrue(
                  work <= BURST_TOKENS + TOKENS_PER_SECOND * seconds + MAXIMUM_WORK_TOKENS,
                  account + " ran " + work));
    }

    private void sendRandomEvent(int number) {
      int kind = random.nextInt(100);
      List<TrackedRequest> running = running();
      if (kind < 45) {
        arrive(number);
      } else if (kind < 85 && !running.isEmpty()) {
        finish(running.get(random.nextInt(running.size())), randomFailure());
      } else if (kind < 88) {
        List<RequestId> known = new ArrayList<>(requests.keySet());
        if (!known.isEmpty()) {
          disconnect(known.get(random.nextInt(known.size())));
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
      Repeatability repeatability =
          random.nextBoolean() ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE;
      WorkRequest work =
          Samples.request(
              "r" + number,
              "account-" + random.nextInt(ACCOUNTS),
              1 + random.nextInt(MAXIMUM_WORK_TOKENS / 2),
              1 + random.nextInt(MAXIMUM_WORK_TOKENS / 2 - 1),
              now + random.nextInt(1_000) * Samples.MILLISECOND,
              repeatability,
              random.nextLong());
      requests.put(work.request(), new TrackedRequest(work));
      send(new AdmissionEvent.RequestArrived(work));
    }

    private @Nullable FailureKind randomFailure() {
      FailureKind[] kinds = FailureKind.values();
      FailureKind kind = kinds[random.nextInt(kinds.length)];
      // A leaving server is excluded for 30 seconds; with more of them the fleet would soon be
      // empty.
      boolean skipped = kind == FailureKind.REFUSED_LEAVING && random.nextInt(30) > 0;
      return skipped || random.nextInt(100) < 70 ? null : kind;
    }

    private void finish(TrackedRequest request, @Nullable FailureKind failure) {
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
        if (RetryTable.isRefusal(failure)) {
          request.refusedBy.add(dispatch.server());
        }
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

    private void disconnect(RequestId id) {
      TrackedRequest request = Objects.requireNonNull(requests.get(id));
      if (request.ends == 0) {
        request.ends++;
        send(new AdmissionEvent.CallerDisconnected(id));
      }
    }

    private void report() {
      int free = random.nextInt(1_000);
      send(
          new AdmissionEvent.LoadReported(
              Samples.loadReport("e" + random.nextInt(8), now, random.nextInt(4), 100, free)));
    }

    private void changeFleet() {
      List<BackendServer> servers = new ArrayList<>();
      live = new HashSet<>();
      ejected = new HashSet<>();
      for (int i = 0; i < 8; i++) {
        int draw = random.nextInt(10);
        if (draw > 0) {
          BackendServer.State state =
              switch (draw) {
                case 1 -> BackendServer.State.DRAINING;
                case 2 -> BackendServer.State.LEAVING;
                case 3 -> BackendServer.State.EJECTED;
                default -> BackendServer.State.LIVE;
              };
          BackendServer.Capacity capacity = BackendServer.Capacity.values()[i % 2];
          servers.add(Samples.engine("e" + i, "a", capacity, state));
          if (state == BackendServer.State.LIVE) {
            live.add(server(i));
          } else if (state == BackendServer.State.EJECTED) {
            ejected.add(server(i));
          }
          if (capacity == BackendServer.Capacity.CHEAP) {
            cheap.add(server(i));
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
      TrackedRequest request = Objects.requireNonNull(requests.get(dispatch.request()));
      assertEquals(request.ends, 0, "dispatched after its end: " + dispatch);
      assertEquals(request.running, null, "two attempts at once: " + dispatch);
      assertEquals(dispatch.attempt(), ++request.attempts);
      assertFalse(isAtMostOnce(request) && request.mayHaveRun, "second run: " + dispatch);
      boolean lastResort =
          ejected.contains(dispatch.server())
              && live.stream().noneMatch(server -> mayRun(server, request));
      assertTrue(live.contains(dispatch.server()) || lastResort, "not live: " + dispatch);
      assertTrue(now >= leavingUntil.getOrDefault(dispatch.server(), 0L), "leaving: " + dispatch);
      request.running = dispatch;
    }

    private boolean anyServerMayRun(TrackedRequest request) {
      return Stream.concat(live.stream(), ejected.stream())
          .anyMatch(server -> mayRun(server, request));
    }

    private boolean mayRun(BackendServerId server, TrackedRequest request) {
      return now >= leavingUntil.getOrDefault(server, 0L)
          && !(isAtMostOnce(request) && request.refusedBy.contains(server))
          && (!cheap.contains(server) || mayUseCheap(request));
    }

    private static boolean isAtMostOnce(TrackedRequest request) {
      return request.work.repeatability() == Repeatability.AT_MOST_ONCE;
    }

    private boolean mayUseCheap(TrackedRequest request) {
      return !isAtMostOnce(request)
          && cheapCapacity.get(request.work.account()) == PlanLimits.CheapCapacity.ALLOWED;
    }

    private void onRefuse(AdmissionAction.Refuse refuse) {
      TrackedRequest request = Objects.requireNonNull(requests.get(refuse.request()));
      assertEquals(request.running, null, "refused while running: " + refuse);
      boolean certain = refuse.code().notRun() == NotRun.CERTAIN;
      assertFalse(certain && request.mayHaveRun, "false not-run statement: " + refuse);
      boolean unservable = refuse.code() == RefusalCode.NO_BACKEND_SERVER && request.attempts == 0;
      assertFalse(unservable && anyServerMayRun(request), "refused beside a server: " + refuse);
      Duration after = refuse.retryAfter();
      assertTrue(after == null || !after.isNegative());
      request.ends++;
      assertEquals(request.ends, 1, "ended twice: " + refuse);
    }

    private void checkLimits() {
      Map<ClientAccount, Integer> open = new HashMap<>();
      int waiting = 0;
      for (TrackedRequest request : requests.values()) {
        if (request.ends == 0) {
          open.merge(request.work.account(), 1, Integer::sum);
          waiting += request.running == null && request.attempts == 0 ? 1 : 0;
        }
      }
      open.forEach(
          (account, count) -> assertTrue(count <= MAXIMUM_OPEN, account + " open " + count));
      assertTrue(waiting <= MAXIMUM_QUEUED, "waiting " + waiting);
    }

    private void endAllRequests() {
      if (random.nextBoolean()) {
        // Without servers the waiting requests can only end at their queue deadline.
        live = new HashSet<>();
        ejected = new HashSet<>();
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

    private List<TrackedRequest> running() {
      List<TrackedRequest> running = new ArrayList<>();
      requests.values().stream().filter(r -> r.running != null).forEach(running::add);
      running.sort((left, right) -> left.work.request().compareTo(right.work.request()));
      return running;
    }

    private static BackendServerId server(int number) {
      return new BackendServerId("e" + number);
    }
  }
}
