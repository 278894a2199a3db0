package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/**
 * Workloads of long prompts with shared prefixes on prefill-only engines, decode engines, and
 * engines that change their role.
 */
public final class PromptLoadTest {

  private static final int SHARED_TOKENS = 13_300;
  private static final int OWN_TOKENS = 3_700;

  static PolicyConfiguration.Builder configuration() {
    return PolicyConfiguration.builder()
        .replicaChoice(PolicyConfiguration.ReplicaChoice.AFFINITY)
        .accountsWithoutPlan(PolicyConfiguration.AccountsWithoutPlan.UNLIMITED)
        .initialPrefillTokensPerSecond(64_000);
  }

  static BackendServer engine(String id, EngineRole role) {
    BackendServer plain = Samples.engine(id, "a");
    return new BackendServer(
        plain.id(),
        plain.pool(),
        plain.failureDomain(),
        plain.address(),
        plain.models(),
        plain.capacity(),
        plain.state(),
        role);
  }

  static WorkRequest prompt(
      Harness harness, int number, long affinity, Repeatability repeatability) {
    return prompt(harness, number, affinity, repeatability, 2);
  }

  private static WorkRequest prompt(
      Harness harness, int number, long affinity, Repeatability repeatability, int attempts) {
    WorkRequest plain =
        Samples.request(
            "r" + number,
            "north",
            SHARED_TOKENS + OWN_TOKENS,
            100,
            harness.now + 6 * Samples.SECOND,
            repeatability,
            number * 0x9E3779B97F4A7C15L);
    return new WorkRequest(
        plain.request(),
        plain.account(),
        plain.item(),
        plain.pool(),
        plain.kind(),
        plain.repeatability(),
        plain.promptTokens(),
        plain.expectedOutputTokens(),
        affinity == 0 ? List.of() : List.of(affinity),
        plain.prefixHashes(),
        plain.fingerprint(),
        plain.firstTokenDeadlineNanos(),
        plain.sampleBits(),
        new RequestOptions(attempts, 2, affinity, SHARED_TOKENS));
  }

  /** Many callers send prompts about the same few documents. */
  public static final class SharedDocuments {

    /** Guards against a shared prefix that every engine prefills again. */
    @Test
    public void requestsWithSharedPrefixGoToSameEngine() {
      Harness harness =
          new Harness(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.highLimits("north", 1, 0));
      Set<BackendServerId> servers = new HashSet<>();
      for (int i = 0; i < 20; i++) {
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(harness.arrive(prompt(harness, i, 77, Repeatability.IDEMPOTENT)));
        servers.add(dispatch.server());
        harness.now += 300 * Samples.MILLISECOND;
        harness.finish(dispatch, new AttemptOutcome(null, 100, 80 * Samples.MILLISECOND));
      }
      assertEquals(servers.size(), 1);
    }

    /** Guards against prefixes whose engine is ejected and that each instance sends elsewhere. */
    @Test
    public void instancesAgreeOnTheEngineWhileOneIsEjected() {
      for (int affinity = 1; affinity <= 100; affinity++) {
        Set<BackendServerId> servers = new HashSet<>();
        for (int instance = 0; instance < 8; instance++) {
          List<BackendServer> engines =
              List.of(
                  Samples.engine("e1", "a").withState(BackendServer.State.EJECTED),
                  Samples.engine("e2", "a"),
                  Samples.engine("e3", "a"),
                  Samples.engine("e4", "a"));
          Harness harness =
              new Harness(configuration().build(), engines, Samples.highLimits("north", 1, 0));
          WorkRequest work = prompt(harness, instance, affinity, Repeatability.IDEMPOTENT);
          servers.add(Harness.dispatch(harness.arrive(work)).server());
        }
        assertEquals(servers.size(), 1, "engines for prefix " + affinity + ": " + servers);
      }
    }

    /** Guards against requests that queue at one engine while another one is idle. */
    @Test
    public void busyEngineIsAvoidedWhenRepeatedPrefillIsFaster() {
      Harness harness =
          new Harness(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.highLimits("north", 1, 0));
      Set<BackendServerId> servers = new HashSet<>();
      for (int i = 0; i < 12; i++) {
        servers.add(
            Harness.dispatch(harness.arrive(prompt(harness, i, 77, Repeatability.IDEMPOTENT)))
                .server());
      }
      assertEquals(servers.size(), 2);
    }
  }

  /** Callers of one failure domain send prompts with shared prefixes; another domain is idle. */
  public static final class UnevenDomains {

    private static final int REQUESTS = 20;

    /** Three quarters; some leave, since the choice is random between similar costs. */
    private static final int MINIMUM_KEPT = 15;

    private static final double TOKENS_PER_SECOND = 64_000;

    private static void report(Harness harness, String server, int running) {
      harness.send(
          new AdmissionEvent.LoadReported(
              new LoadReport(
                  new BackendServerId(server),
                  harness.now,
                  running,
                  0,
                  0,
                  0,
                  0,
                  0,
                  EngineRole.MIXED)));
    }

    /** Sends prompts that no engine is known to hold and counts those that stay in the domain. */
    private static int sentToOwnDomain(int runningInOwnDomain, double tokensPerSecond) {
      Harness harness =
          new Harness(
              configuration()
                  .ownFailureDomain(new FailureDomain("a"))
                  .crossDomainCostNanos(8 * Samples.MILLISECOND)
                  .initialPrefillTokensPerSecond(tokensPerSecond)
                  .build(),
              List.of(Samples.engine("own", "a"), Samples.engine("other", "b")),
              Samples.highLimits("north", 1, 0));
      int own = 0;
      for (int i = 0; i < REQUESTS; i++) {
        report(harness, "own", runningInOwnDomain);
        report(harness, "other", 0);
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(harness.arrive(prompt(harness, i, 0, Repeatability.IDEMPOTENT)));
        own += dispatch.server().value().equals("own") ? 1 : 0;
        long prefillNanos =
            (long) ((SHARED_TOKENS + OWN_TOKENS) / tokensPerSecond * Samples.SECOND);
        harness.finish(dispatch, new AttemptOutcome(null, 100, prefillNanos));
      }
      return own;
    }

    /**
     * Guards against requests that leave their domain for a small difference in load: their bodies
     * and KV caches then cross domains, and shared prefixes are prefilled in each.
     */
    @Test
    public void fewRunningResponsesKeepRequestsInTheirDomain() {
      assertTrue(sentToOwnDomain(4, TOKENS_PER_SECOND) >= MINIMUM_KEPT);
    }

    /** Guards against a domain whose callers wait while another domain is idle. */
    @Test
    public void busyDomainSendsRequestsToTheOther() {
      assertEquals(sentToOwnDomain(60, TOKENS_PER_SECOND), 0);
    }

    /**
     * Guards against a cost in milliseconds that fits the engines of one deployment: on engines
     * four times as fast the same load is worth leaving the domain.
     */
    @Test
    public void fastEnginesAreWorthLeavingForEarlier() {
      int slow = sentToOwnDomain(12, TOKENS_PER_SECOND);
      int fast = sentToOwnDomain(12, 4 * TOKENS_PER_SECOND);
      assertTrue(fast < slow, fast + " of fast engines, " + slow + " of slow ones");
    }
  }

  /** Long prompts arrive during the decode of other responses. */
  public static final class LongPromptsDuringDecode {

    private static Harness harness() {
      return new Harness(
          configuration().build(),
          List.of(engine("reader", EngineRole.PREFILL_ONLY), engine("decoder", EngineRole.DECODE)),
          Samples.highLimits("north", 1, 0));
    }

    /** Guards against streams that stall while their engine prefills long prompts. */
    @Test
    public void prefillEnginePrefillsAndDecodeEngineRuns() {
      Harness harness = harness();
      AdmissionAction.Dispatch dispatch =
          Harness.dispatch(harness.arrive(prompt(harness, 1, 77, Repeatability.AT_MOST_ONCE)));
      assertEquals(dispatch.server(), new BackendServerId("decoder"));
      assertEquals(dispatch.prefillEngine(), new BackendServerId("reader"));
    }

    /**
     * Guards against instances that all choose the first of several equal prefill engines: two of
     * ten engines got a third of all prompts.
     */
    @Test
    public void promptsAreSpreadOverEqualPrefillEngines() {
      Map<BackendServerId, Integer> prefillCounts = new HashMap<>();
      for (int instance = 0; instance < 400; instance++) {
        Harness harness =
            new Harness(
                configuration().build(),
                List.of(
                    engine("r1", EngineRole.PREFILL_ONLY),
                    engine("r2", EngineRole.PREFILL_ONLY),
                    engine("r3", EngineRole.PREFILL_ONLY),
                    engine("r4", EngineRole.PREFILL_ONLY),
                    engine("decoder", EngineRole.DECODE)),
                Samples.highLimits("north", 1, 0));
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(
                harness.arrive(prompt(harness, instance, 0, Repeatability.AT_MOST_ONCE)));
        prefillCounts.merge(dispatch.prefillEngine(), 1, Integer::sum);
      }
      assertTrue(
          prefillCounts.values().stream().allMatch(count -> count >= 50), "" + prefillCounts);
    }

    /**
     * Guards against a prefill engine that other instances keep busy, which shows only in the
     * duration of its prefills.
     */
    @Test
    public void prefillEngineBusyWithOtherInstancesIsAvoided() {
      Harness harness =
          new Harness(
              configuration().build(),
              List.of(
                  engine("r1", EngineRole.PREFILL_ONLY),
                  engine("r2", EngineRole.PREFILL_ONLY),
                  engine("decoder", EngineRole.DECODE)),
              Samples.highLimits("north", 1, 0));
      BackendServerId busy = new BackendServerId("r1");
      int busyCount = 0;
      for (int i = 0; i < 40; i++) {
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(harness.arrive(prompt(harness, i, 0, Repeatability.AT_MOST_ONCE)));
        boolean slow = busy.equals(dispatch.prefillEngine());
        busyCount += slow ? 1 : 0;
        long nanos = (slow ? 900 : 280) * Samples.MILLISECOND;
        harness.now += 300 * Samples.MILLISECOND;
        harness.send(
            new AdmissionEvent.PrefillFinished(
                dispatch.request(), dispatch.attempt(), null, nanos));
        harness.finish(dispatch, new AttemptOutcome(null, 100, 50 * Samples.MILLISECOND));
      }
      assertTrue(busyCount <= 12, "prefills at the busy engine: " + busyCount);
    }

    /** Guards against a prompt part that crashes one prefill engine after the other unnoticed. */
    @Test
    public void partsOfLostRemotePrefillAreReported() {
      Harness harness = harness();
      AdmissionAction.Dispatch dispatch =
          Harness.dispatch(harness.arrive(prompt(harness, 1, 77, Repeatability.AT_MOST_ONCE)));
      List<AdmissionAction> actions =
          harness.send(
              new AdmissionEvent.PrefillFinished(
                  dispatch.request(),
                  dispatch.attempt(),
                  FailureKind.LOST_BEFORE_ANSWER,
                  Samples.MILLISECOND));
      assertEquals(
          actions,
          List.of(
              new AdmissionAction.ReportLostParts(
                  Objects.requireNonNull(dispatch.prefillEngine()), List.of(77L), 0)));
    }

    /**
     * Guards against failed remote prefills, each followed by another attempt, that together exceed
     * the retry budget of the instances.
     */
    @Test
    public void failedRemotePrefillsDrawOnRetryBudget() {
      int requests = 200;
      double ratio = 0.1;
      List<BackendServer> engines = new ArrayList<>(List.of(engine("decoder", EngineRole.DECODE)));
      for (int i = 0; i < 8; i++) {
        engines.add(engine("p" + i, EngineRole.PREFILL_ONLY));
      }
      Harness harness =
          new Harness(
              configuration().retryRatio(ratio).build(),
              engines,
              Samples.highLimits("north", 1, 0));
      Random random = new Random(1);
      int failures = 0;
      for (int i = 0; i < requests; i++) {
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(harness.arrive(prompt(harness, i, i + 1, Repeatability.AT_MOST_ONCE)));
        if (dispatch.prefillEngine() != null) {
          boolean fails = random.nextDouble() < 0.4;
          failures += fails ? 1 : 0;
          harness.send(
              new AdmissionEvent.PrefillFinished(
                  dispatch.request(),
                  dispatch.attempt(),
                  fails ? FailureKind.TIMED_OUT : null,
                  90 * Samples.MILLISECOND));
        }
        harness.now += 300 * Samples.MILLISECOND;
        harness.finish(dispatch, new AttemptOutcome(null, 100, 50 * Samples.MILLISECOND));
      }
      assertTrue(
          failures <= RetryBudget.INITIAL_RETRIES + ratio * requests + 1,
          failures + " remote prefills failed");
    }

    /** Guards against a second remote prefill, which would count as another attempt. */
    @Test
    public void retryHasNoRemotePrefill() {
      Harness harness = harness();
      AdmissionAction.Dispatch first =
          Harness.dispatch(harness.arrive(prompt(harness, 1, 77, Repeatability.AT_MOST_ONCE)));
      harness.send(
          new AdmissionEvent.PrefillFinished(
              first.request(), first.attempt(), null, 90 * Samples.MILLISECOND));
      AdmissionAction.Dispatch second =
          Harness.dispatch(
              harness.finish(first, new AttemptOutcome(FailureKind.CONNECT_FAILED, 0, 0)));
      assertNull(second.prefillEngine());
    }

    /**
     * Guards against a prefill engine whose queue is ignored: the decode engine prefills if that is
     * faster.
     */
    @Test
    public void overloadedPrefillEngineIsSkipped() {
      Harness harness = harness();
      boolean remotePrefill = true;
      for (int i = 0; i < 40 && remotePrefill; i++) {
        remotePrefill =
            Harness.dispatch(harness.arrive(prompt(harness, i, i + 1, Repeatability.AT_MOST_ONCE)))
                    .prefillEngine()
                != null;
      }
      assertTrue(!remotePrefill);
    }
  }

  /** An engine changes its role during traffic. */
  public static final class RoleChange {

    /**
     * Guards against an engine that refuses at once and therefore appears idle: it attracted all
     * requests for the three seconds of its role change.
     */
    @Test
    public void refusingEngineIsBackedOff() {
      Harness harness =
          new Harness(
              configuration().sharedRetryReserve(64_000).build(),
              List.of(engine("e1", EngineRole.DECODE), engine("e2", EngineRole.DECODE)),
              Samples.highLimits("north", 1, 0));
      BackendServerId changing = new BackendServerId("e1");
      int refused = 0;
      for (int i = 0; i < 100; i++) {
        AdmissionAction.Dispatch dispatch =
            Harness.dispatch(harness.arrive(prompt(harness, i, i + 1, Repeatability.AT_MOST_ONCE)));
        if (dispatch.server().equals(changing)) {
          refused++;
          harness.send(
              new AdmissionEvent.LoadReported(Samples.loadReport("e1", harness.now, 0, 0, 1_000)));
          dispatch =
              Harness.dispatch(
                  harness.finish(dispatch, new AttemptOutcome(FailureKind.REFUSED_BUSY, 0, 0)));
          assertNotEquals(dispatch.server(), changing);
        }
        harness.finish(dispatch, new AttemptOutcome(null, 100, 50 * Samples.MILLISECOND));
        harness.now += 30 * Samples.MILLISECOND;
      }
      // Three seconds with a backoff that grows to 0.8 s.
      assertTrue(refused <= 8, "refused " + refused);
    }
  }

  /** All instances share one retry budget. */
  public static final class SharedRetryBudget {

    /** Guards against instances that each accumulate the complete reserve of the fleet. */
    @Test
    public void reserveIsDividedAmongInstances() {
      PolicyConfiguration configuration =
          configuration()
              .retryRatio(0)
              .sharedRetryReserve(48)
              .resumeOverdraft(0)
              .maximumAttempts(10)
              .build();
      Harness harness =
          new Harness(
              configuration,
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.highLimits("north", 1, 0));
      harness.send(
          new AdmissionEvent.SharesGranted(
              Map.<ClientAccount, Double>of(), Map.of(), Long.MAX_VALUE, 1.0 / 12));
      int retries = 0;
      for (int i = 0; i < 20; i++) {
        WorkRequest work = prompt(harness, i, 0, Repeatability.IDEMPOTENT, 10);
        AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work));
        List<AdmissionAction> actions =
            harness.finish(first, new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0));
        retries += Harness.actionsOfType(AdmissionAction.Dispatch.class, actions).size();
        harness.now += 10 * Samples.SECOND;
      }
      assertEquals(retries, 4);
    }

    /** Guards against more attempts of one request than its route allows. */
    @Test
    public void routeLimitsAttempts() {
      Harness harness =
          new Harness(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.highLimits("north", 1, 0));
      WorkRequest work = prompt(harness, 1, 0, Repeatability.IDEMPOTENT, 1);
      AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work));
      List<AdmissionAction> actions =
          harness.finish(first, new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0));
      assertEquals(Harness.refusal(actions).code(), RefusalCode.OUTCOME_UNKNOWN);
    }
  }
}
