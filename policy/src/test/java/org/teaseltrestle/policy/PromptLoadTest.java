package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionCoreTest.Bench;
import org.teaseltrestle.policy.WorkRequest.Repeatable;
import org.testng.annotations.Test;

/**
 * Patterns of load with long shared prompts in front of engines that read prompts, engines that
 * generate answers, and engines that change between the two.
 */
public final class PromptLoadTest {

  private static final int SHARED = 13_300;
  private static final int OWN = 3_700;

  private static PolicyConfiguration.Builder configuration() {
    return PolicyConfiguration.builder()
        .replicaChoice(PolicyConfiguration.ReplicaChoice.AFFINITY)
        .unplanned(PolicyConfiguration.Unplanned.UNLIMITED)
        .initialPrefillTokensPerSecond(64_000);
  }

  private static BackendServer engine(String id, EngineRole role) {
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

  private static WorkRequest prompt(Bench bench, int number, long affinity, Repeatable repeatable) {
    return prompt(bench, number, affinity, repeatable, 2);
  }

  private static WorkRequest prompt(
      Bench bench, int number, long affinity, Repeatable repeatable, int attempts) {
    WorkRequest plain =
        Samples.request(
            "r" + number,
            "north",
            SHARED + OWN,
            100,
            bench.now + 6 * Samples.SECOND,
            repeatable,
            number * 0x9E3779B97F4A7C15L);
    return new WorkRequest(
        plain.request(),
        plain.account(),
        plain.item(),
        plain.pool(),
        plain.kind(),
        plain.repeatable(),
        plain.promptTokens(),
        plain.expectedOutputTokens(),
        plain.prefixHashes(),
        plain.firstTokenDeadlineNanos(),
        plain.sampleBits(),
        new WorkTerms(attempts, 2, affinity, SHARED));
  }

  /** Many callers ask about the same few documents. */
  public static final class SharedDocuments {

    /** Guards against shared parts that are read again by every engine. */
    @Test
    public void requestsGatherWhereTheirDocumentIsKept() {
      Bench bench =
          new Bench(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.wide("north", 1, 0));
      Set<BackendServerId> homes = new HashSet<>();
      for (int i = 0; i < 20; i++) {
        AdmissionAction.Dispatch dispatch =
            Bench.dispatch(bench.arrive(prompt(bench, i, 77, Repeatable.IDEMPOTENT)));
        homes.add(dispatch.server());
        bench.now += 300 * Samples.MILLISECOND;
        bench.end(dispatch, new AttemptOutcome(null, 100, 80 * Samples.MILLISECOND));
      }
      assertEquals(homes.size(), 1);
    }

    /** Guards against all instances queueing at one engine while another one is idle. */
    @Test
    public void busyHomeIsLeftWhenReadingAgainIsQuicker() {
      Bench bench =
          new Bench(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.wide("north", 1, 0));
      Set<BackendServerId> servers = new HashSet<>();
      for (int i = 0; i < 12; i++) {
        servers.add(
            Bench.dispatch(bench.arrive(prompt(bench, i, 77, Repeatable.IDEMPOTENT))).server());
      }
      assertEquals(servers.size(), 2);
    }
  }

  /** Long prompts come while answers are generated. */
  public static final class LongPromptsBesideAnswers {

    private static Bench bench() {
      return new Bench(
          configuration().build(),
          List.of(engine("reader", EngineRole.PREFILL_ONLY), engine("decoder", EngineRole.DECODE)),
          Samples.wide("north", 1, 0));
    }

    /** Guards against streams that pause because their engine reads long prompts in between. */
    @Test
    public void readerHelpsAndDecoderRuns() {
      Bench bench = bench();
      AdmissionAction.Dispatch dispatch =
          Bench.dispatch(bench.arrive(prompt(bench, 1, 77, Repeatable.AT_MOST_ONCE)));
      assertEquals(dispatch.server(), new BackendServerId("decoder"));
      assertEquals(dispatch.helper(), new BackendServerId("reader"));
    }

    /**
     * Guards against instances that all choose the first of several equal readers: two of ten
     * readers got a third of all prompts.
     */
    @Test
    public void equalReadersShareThePrompts() {
      Map<BackendServerId, Integer> helpers = new HashMap<>();
      for (int instance = 0; instance < 400; instance++) {
        Bench bench =
            new Bench(
                configuration().build(),
                List.of(
                    engine("r1", EngineRole.PREFILL_ONLY),
                    engine("r2", EngineRole.PREFILL_ONLY),
                    engine("r3", EngineRole.PREFILL_ONLY),
                    engine("r4", EngineRole.PREFILL_ONLY),
                    engine("decoder", EngineRole.DECODE)),
                Samples.wide("north", 1, 0));
        AdmissionAction.Dispatch dispatch =
            Bench.dispatch(bench.arrive(prompt(bench, instance, 0, Repeatable.AT_MOST_ONCE)));
        helpers.merge(dispatch.helper(), 1, Integer::sum);
      }
      assertTrue(helpers.values().stream().allMatch(count -> count >= 50), "" + helpers);
    }

    /** Guards against a reader that other instances keep busy, seen only in how long it takes. */
    @Test
    public void readerThatOthersKeepBusyIsAvoided() {
      Bench bench =
          new Bench(
              configuration().build(),
              List.of(
                  engine("r1", EngineRole.PREFILL_ONLY),
                  engine("r2", EngineRole.PREFILL_ONLY),
                  engine("decoder", EngineRole.DECODE)),
              Samples.wide("north", 1, 0));
      BackendServerId busy = new BackendServerId("r1");
      int toBusy = 0;
      for (int i = 0; i < 40; i++) {
        AdmissionAction.Dispatch dispatch =
            Bench.dispatch(bench.arrive(prompt(bench, i, 0, Repeatable.AT_MOST_ONCE)));
        boolean slow = busy.equals(dispatch.helper());
        toBusy += slow ? 1 : 0;
        long nanos = (slow ? 900 : 280) * Samples.MILLISECOND;
        bench.now += 300 * Samples.MILLISECOND;
        bench.send(
            new AdmissionEvent.PrefillEnded(dispatch.request(), dispatch.attempt(), null, nanos));
        bench.end(dispatch, new AttemptOutcome(null, 100, 50 * Samples.MILLISECOND));
      }
      assertTrue(toBusy <= 12, "to the busy one: " + toBusy);
    }

    /** Guards against a second reading elsewhere, which would count as one more attempt. */
    @Test
    public void laterAttemptHasNoHelper() {
      Bench bench = bench();
      AdmissionAction.Dispatch first =
          Bench.dispatch(bench.arrive(prompt(bench, 1, 77, Repeatable.AT_MOST_ONCE)));
      bench.send(
          new AdmissionEvent.PrefillEnded(
              first.request(), first.attempt(), null, 90 * Samples.MILLISECOND));
      AdmissionAction.Dispatch second =
          Bench.dispatch(bench.end(first, new AttemptOutcome(FailureKind.CONNECT_FAILED, 0, 0)));
      assertNull(second.helper());
    }

    /** Guards against a reader whose queue is forgotten: the decoder reads when that is sooner. */
    @Test
    public void crowdedReaderIsPassedOver() {
      Bench bench = bench();
      boolean helped = true;
      for (int i = 0; i < 40 && helped; i++) {
        helped =
            Bench.dispatch(bench.arrive(prompt(bench, i, i + 1, Repeatable.AT_MOST_ONCE))).helper()
                != null;
      }
      assertTrue(!helped);
    }
  }

  /** An engine changes its role under traffic. */
  public static final class ChangingEngine {

    /**
     * Guards against an engine that refuses at once and so looks idle: it drew all requests for the
     * three seconds of its role change.
     */
    @Test
    public void refusingEngineIsLeftAlone() {
      Bench bench =
          new Bench(
              configuration().sharedRetryReserve(64_000).build(),
              List.of(engine("e1", EngineRole.DECODE), engine("e2", EngineRole.DECODE)),
              Samples.wide("north", 1, 0));
      BackendServerId changing = new BackendServerId("e1");
      int refused = 0;
      for (int i = 0; i < 100; i++) {
        AdmissionAction.Dispatch dispatch =
            Bench.dispatch(bench.arrive(prompt(bench, i, i + 1, Repeatable.AT_MOST_ONCE)));
        if (dispatch.server().equals(changing)) {
          refused++;
          bench.send(new AdmissionEvent.LoadReported(Samples.load("e1", bench.now, 0, 0, 1_000)));
          dispatch =
              Bench.dispatch(
                  bench.end(dispatch, new AttemptOutcome(FailureKind.REFUSED_BUSY, 0, 0)));
          assertNotEquals(dispatch.server(), changing);
        }
        bench.end(dispatch, new AttemptOutcome(null, 100, 50 * Samples.MILLISECOND));
        bench.now += 30 * Samples.MILLISECOND;
      }
      // Three seconds with a pause that grows to 0.8 s.
      assertTrue(refused <= 8, "refused " + refused);
    }
  }

  /** Retries of many instances share one budget. */
  public static final class SharedBudget {

    /** Guards against instances that each save up the whole reserve of the fleet. */
    @Test
    public void reserveIsDividedByTheInstances() {
      PolicyConfiguration configuration =
          configuration()
              .retryRatio(0)
              .sharedRetryReserve(48)
              .resumeOverdraft(0)
              .maximumAttempts(10)
              .build();
      Bench bench =
          new Bench(
              configuration,
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.wide("north", 1, 0));
      bench.send(
          new AdmissionEvent.SharesGranted(
              Map.<ClientAccount, Double>of(), Map.of(), Long.MAX_VALUE, 1.0 / 12));
      int retries = 0;
      for (int i = 0; i < 20; i++) {
        WorkRequest work = prompt(bench, i, 0, Repeatable.IDEMPOTENT, 10);
        AdmissionAction.Dispatch first = Bench.dispatch(bench.arrive(work));
        List<AdmissionAction> after =
            bench.end(first, new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0));
        retries += Bench.only(AdmissionAction.Dispatch.class, after).size();
        bench.now += 10 * Samples.SECOND;
      }
      assertEquals(retries, 4);
    }

    /** Guards against more runs of one request than its route allows. */
    @Test
    public void routeBoundsTheRuns() {
      Bench bench =
          new Bench(
              configuration().build(),
              List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a")),
              Samples.wide("north", 1, 0));
      WorkRequest work = prompt(bench, 1, 0, Repeatable.IDEMPOTENT, 1);
      AdmissionAction.Dispatch first = Bench.dispatch(bench.arrive(work));
      List<AdmissionAction> after =
          bench.end(first, new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0));
      assertEquals(Bench.refusal(after).code(), RefusalCode.OUTCOME_UNKNOWN);
    }
  }
}
