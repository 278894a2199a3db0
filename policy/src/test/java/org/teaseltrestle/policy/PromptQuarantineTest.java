package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionAction.Dispatch;
import org.teaseltrestle.policy.AdmissionAction.ReportAnsweredParts;
import org.teaseltrestle.policy.AdmissionAction.ReportLostParts;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.testng.annotations.Test;

/**
 * Load pattern: requests that share one prompt part, under which engines crash, among sound ones
 * that share their account and their other parts.
 */
public final class PromptQuarantineTest {

  private static final long COMMON = 1;
  private static final long CRASHING = 666;
  private static final AttemptOutcome LOST =
      new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0);

  private static Harness harness() {
    return new Harness(
        PolicyConfiguration.builder().build(),
        List.of(Samples.engine("e1", "a"), Samples.engine("e2", "a"), Samples.engine("e3", "a")),
        Samples.highLimits("north", 1, 0));
  }

  private static WorkRequest prompt(Harness harness, String id, Long... parts) {
    return sampledPrompt(harness, id, 0, parts);
  }

  private static WorkRequest sampledPrompt(
      Harness harness, String id, long sampleBits, Long... parts) {
    WorkRequest plain = Samples.completion(id, "north", 100, 10, harness.now + 5 * Samples.SECOND);
    return new WorkRequest(
        plain.request(),
        plain.account(),
        plain.item(),
        plain.pool(),
        plain.kind(),
        Repeatability.IDEMPOTENT,
        plain.promptTokens(),
        plain.expectedOutputTokens(),
        List.of(parts),
        List.of(),
        0,
        plain.firstTokenDeadlineNanos(),
        sampleBits,
        RequestOptions.NONE);
  }

  private static List<AdmissionAction> suspect(Harness harness, int losses) {
    return harness.send(
        new AdmissionEvent.SuspectPartsChanged(Map.of(COMMON, 1, CRASHING, losses)));
  }

  private static AttemptOutcome answer() {
    return new AttemptOutcome(null, 10, Samples.MILLISECOND);
  }

  /** Requests with a quarantined part. */
  public static final class Quarantined {

    /** Guards against a crashing prompt that is sent or held, and against sound ones refused. */
    @Test
    public void areRefusedAtOnceAndSoundOnesAreSent() {
      Harness harness = harness();
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      AdmissionAction.Refuse refusal =
          Harness.refusal(harness.arrive(prompt(harness, "r1", COMMON, CRASHING)));
      assertEquals(refusal.code(), RefusalCode.PROMPT_QUARANTINED);
      assertTrue(refusal.retryAfter() != null && refusal.retryAfter().toSeconds() > 0);
      Harness.dispatch(harness.arrive(prompt(harness, "r2", COMMON, 3L)));
      assertEquals(harness.core.openRequests(), 1);
    }

    /** Guards against a suspicion that refuses prompts before it is confirmed. */
    @Test
    public void areSentWhileTheyAreOnlySuspected() {
      Harness harness = harness();
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES - 1);
      Harness.dispatch(harness.arrive(prompt(harness, "r1", COMMON, CRASHING)));
    }

    /** Guards against a lost request that crashes a second engine. */
    @Test
    public void areNotRetried() {
      Harness harness = harness();
      Dispatch dispatch = Harness.dispatch(harness.arrive(prompt(harness, "r1", CRASHING)));
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      List<AdmissionAction> actions = harness.finish(dispatch, LOST);
      assertEquals(Harness.refusal(actions).code(), RefusalCode.OUTCOME_UNKNOWN);
    }

    /** Guards against a waiting request that is sent after its part was quarantined. */
    @Test
    public void areRefusedWhileTheyWait() {
      Harness harness =
          new Harness(
              PolicyConfiguration.builder().maximumRunningPerServer(1).build(),
              List.of(Samples.engine("e1", "a")),
              Samples.highLimits("north", 1, 0));
      Harness.dispatch(harness.arrive(prompt(harness, "r1", COMMON)));
      assertTrue(harness.arrive(prompt(harness, "r2", CRASHING)).isEmpty());
      AdmissionAction.Refuse refusal =
          Harness.refusal(suspect(harness, CrashQuarantine.QUARANTINE_LOSSES));
      assertEquals(refusal.code(), RefusalCode.PROMPT_QUARANTINED);
    }
  }

  /** What is reported of the parts of a request. */
  public static final class Reports {

    /** Guards against an engine's loss that is not tied to the prompts that ran on it. */
    @Test
    public void partsOfLostRequestsAreReported() {
      Harness harness = harness();
      Dispatch dispatch = Harness.dispatch(harness.arrive(prompt(harness, "r1", COMMON, CRASHING)));
      List<ReportLostParts> reports =
          Harness.actionsOfType(ReportLostParts.class, harness.finish(dispatch, LOST));
      assertEquals(
          reports, List.of(new ReportLostParts(dispatch.server(), List.of(COMMON, CRASHING), 0)));
    }

    /** Guards against a sound part that stays suspected, and against reports of rejections. */
    @Test
    public void suspectedPartsOfAnsweredRequestsAreReported() {
      Harness harness = harness();
      suspect(harness, 1);
      Dispatch rejected = Harness.dispatch(harness.arrive(prompt(harness, "r1", COMMON, 5L)));
      assertTrue(harness.finish(rejected, new AttemptOutcome(null, 0, 0)).isEmpty());
      Dispatch answered = Harness.dispatch(harness.arrive(prompt(harness, "r2", COMMON, 5L)));
      assertEquals(
          harness.finish(answered, answer()), List.of(new ReportAnsweredParts(List.of(COMMON))));
    }

    /** Guards against a refusal of a part of which this instance has just seen an answer. */
    @Test
    public void answeredPartIsAdmittedBeforeOthersKnow() {
      Harness harness = harness();
      Dispatch running = Harness.dispatch(harness.arrive(prompt(harness, "r1", CRASHING)));
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      harness.finish(running, answer());
      Harness.dispatch(harness.arrive(prompt(harness, "r2", CRASHING)));
    }
  }

  /** Crashing requests whose other parts were answered a moment before. */
  public static final class AnsweredBefore {

    private static void answer(Harness harness, String id, Long... parts) {
      Dispatch dispatch = Harness.dispatch(harness.arrive(prompt(harness, id, parts)));
      harness.finish(dispatch, PromptQuarantineTest.answer());
    }

    private static List<Long> reportedParts(Harness harness, String id, Long... parts) {
      Dispatch dispatch = Harness.dispatch(harness.arrive(prompt(harness, id, parts)));
      return Harness.actionsOfType(ReportLostParts.class, harness.finish(dispatch, LOST))
          .get(0)
          .parts();
    }

    /** Guards against a sound part that is quarantined with the crashing one beside it. */
    @Test
    public void answeredPartsAreNotReportedBesideOneThatIsNot() {
      Harness harness = harness();
      answer(harness, "r1", COMMON, 3L);
      assertEquals(reportedParts(harness, "r2", COMMON, CRASHING), List.of(CRASHING));
      harness.now += 11 * Samples.SECOND;
      assertEquals(reportedParts(harness, "r3", COMMON, CRASHING), List.of(COMMON, CRASHING));
    }

    /** Guards against a part that starts to crash engines after it was answered. */
    @Test
    public void allPartsAreReportedIfEachWasAnswered() {
      Harness harness = harness();
      answer(harness, "r1", COMMON, CRASHING);
      assertEquals(reportedParts(harness, "r2", COMMON, CRASHING), List.of(COMMON, CRASHING));
    }

    /** Guards against a crashing part behind many sound ones that is never reported. */
    @Test
    public void lastOfManyPartsIsReported() {
      Harness harness = harness();
      Long[] parts = LongStream.rangeClosed(1, 500).boxed().toArray(Long[]::new);
      answer(harness, "r1", parts);
      Long[] crashing = Stream.concat(Stream.of(parts), Stream.of(CRASHING)).toArray(Long[]::new);
      assertEquals(reportedParts(harness, "r2", crashing), List.of(CRASHING));
    }

    /** Guards against a sound part that stays suspected until its next answer. */
    @Test
    public void partSuspectedByOthersIsClearedByEarlierAnswer() {
      Harness harness = harness();
      answer(harness, "r1", COMMON, 3L);
      harness.now += Samples.SECOND;
      List<AdmissionAction> actions =
          harness.send(
              new AdmissionEvent.SuspectPartsChanged(
                  Map.of(COMMON, CrashQuarantine.QUARANTINE_LOSSES)));
      assertEquals(actions, List.of(new ReportAnsweredParts(List.of(COMMON))));
      Harness.dispatch(harness.arrive(prompt(harness, "r2", COMMON, 4L)));
    }

    /** Guards against a part that is never quarantined because it was answered long ago. */
    @Test
    public void oldAnswerDoesNotClear() {
      Harness harness = harness();
      answer(harness, "r1", CRASHING);
      harness.now += 3 * Samples.SECOND;
      assertTrue(suspect(harness, CrashQuarantine.QUARANTINE_LOSSES).isEmpty());
      Harness.refusal(harness.arrive(prompt(harness, "r2", CRASHING)));
    }

    /** Guards against memory that grows with the prompts. */
    @Test
    public void forgetsPartsAnsweredLongestAgo() {
      AnsweredParts answered = new AnsweredParts();
      answered.record(List.of(COMMON), 0);
      for (long part = 1_000; part < 1_000 + AnsweredParts.CAPACITY; part++) {
        assertTrue(answered.clears(COMMON, 0));
        answered.record(List.of(part), 0);
      }
      assertFalse(answered.clears(COMMON, 0));
    }
  }

  /** Trials of a quarantined part. */
  public static final class Trials {

    /** Guards against a sound part that is refused forever, and against many trials at once. */
    @Test
    public void singleRequestIsTriedAfterInterval() {
      Harness harness = harness();
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      harness.now += CrashQuarantine.FIRST_TRIAL_NANOS;
      Dispatch trial = Harness.dispatch(harness.arrive(prompt(harness, "r1", CRASHING)));
      Harness.refusal(harness.arrive(prompt(harness, "r2", CRASHING)));
      assertEquals(
          harness.finish(trial, answer()), List.of(new ReportAnsweredParts(List.of(CRASHING))));
      Harness.dispatch(harness.arrive(prompt(harness, "r3", CRASHING)));
    }

    /** Guards against trials of all instances at one moment, and against a request never tried. */
    @Test
    public void requestsDrawTheTimeOfTheirTrial() {
      Harness harness = harness();
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      harness.now += CrashQuarantine.FIRST_TRIAL_NANOS + Samples.SECOND;
      int admitted = 0;
      Random random = new Random(1);
      for (int i = 0; i < 1_000; i++) {
        List<AdmissionAction> actions =
            harness.arrive(sampledPrompt(harness, "r" + i, random.nextLong(), CRASHING));
        for (Dispatch trial : Harness.actionsOfType(Dispatch.class, actions)) {
          admitted++;
          harness.finish(trial, new AttemptOutcome(FailureKind.CONNECT_FAILED, 0, 0));
        }
      }
      assertTrue(
          admitted > 0 && admitted < 40, "trials one second after the interval: " + admitted);
      harness.now += CrashQuarantine.FIRST_TRIAL_NANOS;
      Harness.dispatch(harness.arrive(sampledPrompt(harness, "last", random.nextLong(), CRASHING)));
    }

    /** Guards against a trial that crashes two engines, and against a next one as early. */
    @Test
    public void lostTrialIsNotRetriedAndTheNextOneComesLater() {
      Harness harness = harness();
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES);
      harness.now += CrashQuarantine.FIRST_TRIAL_NANOS;
      Dispatch trial = Harness.dispatch(harness.arrive(prompt(harness, "r1", CRASHING)));
      Harness.refusal(harness.finish(trial, LOST));
      suspect(harness, CrashQuarantine.QUARANTINE_LOSSES + 1);
      harness.now += CrashQuarantine.FIRST_TRIAL_NANOS;
      Harness.refusal(harness.arrive(prompt(harness, "r2", CRASHING)));
      harness.now += 3 * CrashQuarantine.FIRST_TRIAL_NANOS;
      Harness.dispatch(harness.arrive(prompt(harness, "r3", CRASHING)));
    }
  }
}
