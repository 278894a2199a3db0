package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.AdmissionAction.Dispatch;
import org.teaseltrestle.policy.AdmissionAction.ReportAnsweredParts;
import org.teaseltrestle.policy.AdmissionAction.ReportLostParts;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.teaseltrestle.policy.WorkRequest.WorkKind;
import org.testng.annotations.Test;

/** Load pattern: one call of a plain service that comes again and again and crashes its servers. */
public final class CrashQuarantineTest {

  private static final long CRASHING = -666;
  private static final long SOUND = -7;
  private static final AttemptOutcome LOST =
      new AttemptOutcome(FailureKind.LOST_BEFORE_ANSWER, 0, 0);
  private static final AttemptOutcome CUT =
      new AttemptOutcome(FailureKind.LOST_DURING_ANSWER, 0, Samples.MILLISECOND);
  private static final AttemptOutcome ANSWERED = new AttemptOutcome(null, 0, Samples.MILLISECOND);

  /** A whole response with an error status of the caller, which is no answer to a prompt. */
  private static final AttemptOutcome REJECTED = new AttemptOutcome(null, 0, 0);

  private static Harness harness() {
    return harness(PolicyConfiguration.builder().build(), 4);
  }

  private static Harness harness(PolicyConfiguration configuration, int servers) {
    return new Harness(
        configuration,
        IntStream.rangeClosed(1, servers).mapToObj(i -> Samples.engine("s" + i, "a")).toList(),
        Samples.highLimits("north", 1, 0));
  }

  private static WorkRequest call(Harness harness, String id, long fingerprint) {
    return call(harness, id, fingerprint, Repeatability.AT_MOST_ONCE);
  }

  private static WorkRequest call(
      Harness harness, String id, long fingerprint, Repeatability repeatability) {
    return new WorkRequest(
        new RequestId(id),
        new ClientAccount("north"),
        Samples.MODEL,
        Samples.POOL,
        WorkKind.SERVICE_CALL,
        repeatability,
        0,
        0,
        List.of(),
        fingerprint,
        harness.now + 5 * Samples.SECOND,
        1);
  }

  private static Dispatch send(Harness harness, String id, long fingerprint) {
    return Harness.dispatch(harness.arrive(call(harness, id, fingerprint)));
  }

  /** Sends the crashing call so often, each time to a server that it has not crashed lately. */
  private static void lose(Harness harness, int times) {
    for (int i = 0; i < times; i++) {
      Dispatch dispatch = send(harness, "lost-" + harness.now, CRASHING);
      harness.now += 50 * Samples.MILLISECOND;
      harness.finish(dispatch, LOST);
      harness.now += 2 * Samples.SECOND;
    }
  }

  /** Loses a call that may be repeated, which then goes to another server, until it ends. */
  private static List<AdmissionAction> loseInRow(Harness harness, AttemptOutcome outcome) {
    WorkRequest work = call(harness, "row-" + harness.now, CRASHING, Repeatability.IDEMPOTENT);
    List<AdmissionAction> actions = harness.arrive(work);
    while (!Harness.actionsOfType(Dispatch.class, actions).isEmpty()) {
      harness.now += Samples.MILLISECOND;
      actions = harness.finish(Harness.dispatch(actions), outcome);
    }
    return actions;
  }

  private static void assertRefused(Harness harness, String id) {
    AdmissionAction.Refuse refusal = Harness.refusal(harness.arrive(call(harness, id, CRASHING)));
    assertEquals(refusal.code(), RefusalCode.REQUEST_QUARANTINED);
    assertTrue(refusal.retryAfter() != null && refusal.retryAfter().toSeconds() > 0);
  }

  private static void assertSent(Harness harness, String id, long fingerprint) {
    harness.finish(send(harness, id, fingerprint), new AttemptOutcome(FailureKind.CANCELLED, 0, 0));
  }

  /** What this instance sees itself. */
  public static final class OwnLosses {

    /** Guards against a crashing call that is sent on, and against others that are refused. */
    @Test
    public void callIsRefusedAfterThreeLosses() {
      Harness harness = harness();
      lose(harness, 2);
      assertSent(harness, "r1", CRASHING);
      lose(harness, 1);
      assertRefused(harness, "r2");
      assertSent(harness, "r3", SOUND);
    }

    /** Guards against servers that one call crashes in such a row that it counts as one loss. */
    @Test
    public void lossesInQuickSuccessionCountEach() {
      Harness harness = harness();
      Harness.refusal(loseInRow(harness, LOST));
      assertRefused(harness, "last");
    }

    /** Guards against calls that are refused because one server breaks its responses. */
    @Test
    public void lossesOfServerThatGoesOnCountOnce() {
      Harness harness = harness(PolicyConfiguration.builder().build(), 1);
      for (int i = 0; i < 10; i++) {
        Dispatch dispatch = send(harness, "r" + i, CRASHING);
        harness.now += 50 * Samples.MILLISECOND;
        harness.finish(dispatch, CUT);
      }
      assertSent(harness, "last", CRASHING);
    }

    /** Guards against calls that are refused because one event ended their servers. */
    @Test
    public void lossesAtOneMomentCountOnce() {
      Harness harness =
          harness(PolicyConfiguration.builder().maximumRunningPerServer(1).build(), 4);
      List<Dispatch> running =
          List.of(
              send(harness, "r1", CRASHING),
              send(harness, "r2", CRASHING),
              send(harness, "r3", CRASHING));
      assertEquals(running.stream().map(Dispatch::server).distinct().count(), 3);
      harness.now += 50 * Samples.MILLISECOND;
      running.forEach(each -> harness.finish(each, LOST));
      assertSent(harness, "last", CRASHING);
    }

    /** Guards against a crash after the head of the response that counts for nothing. */
    @Test
    public void lossDuringAnswerCounts() {
      Harness harness = harness();
      Harness.refusal(loseInRow(harness, CUT));
      assertRefused(harness, "last");
    }

    /** Guards against a sound call that is refused for losses that it did not cause. */
    @Test
    public void eachCompleteResponseClears() {
      for (AttemptOutcome complete : List.of(ANSWERED, REJECTED)) {
        Harness harness = harness();
        lose(harness, 2);
        harness.finish(send(harness, "answered", CRASHING), complete);
        harness.now += Samples.SECOND;
        lose(harness, 2);
        assertSent(harness, "last", CRASHING);
      }
    }

    /** Guards against a call whose waiting repeat crashes one more server. */
    @Test
    public void waitingCallIsRefusedWithTheThirdLoss() {
      Harness harness =
          new Harness(
              PolicyConfiguration.builder().maximumRunningPerServer(1).build(),
              List.of(Samples.engine("s1", "a"), Samples.engine("s2", "a")),
              Samples.highLimits("north", 1, 0));
      for (int i = 0; i < 2; i++) {
        harness.now += 3 * Samples.SECOND;
        harness.finish(send(harness, "lost-" + i, CRASHING), LOST);
      }
      harness.now += 3 * Samples.SECOND;
      final Dispatch third = send(harness, "third", CRASHING);
      send(harness, "running", SOUND);
      assertTrue(harness.arrive(call(harness, "waiting", CRASHING)).isEmpty());
      List<AdmissionAction> actions = harness.finish(third, LOST);
      assertTrue(
          Harness.actionsOfType(AdmissionAction.Refuse.class, actions).stream()
              .anyMatch(
                  each ->
                      each.request().value().equals("waiting")
                          && each.code() == RefusalCode.REQUEST_QUARANTINED),
          actions.toString());
    }

    /** Guards against losses that are forgotten when others know none of them. */
    @Test
    public void stayWhileOthersKnowNothing() {
      Harness harness = harness();
      lose(harness, 3);
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of(SOUND, 1)));
      assertRefused(harness, "last");
    }
  }

  /** Callers who name the parts of their prompts as they like. */
  public static final class NamedParts {

    private static WorkRequest prompt(Harness harness, String id, long part) {
      WorkRequest call = call(harness, id, SOUND);
      return new WorkRequest(
          call.request(),
          call.account(),
          call.item(),
          call.pool(),
          WorkKind.MODEL_COMPLETION,
          Repeatability.IDEMPOTENT,
          100,
          10,
          List.of(part),
          List.of(),
          0,
          call.firstTokenDeadlineNanos(),
          1,
          RequestOptions.NONE);
    }

    /** Guards against a caller who has another caller's request refused by the name of a part. */
    @Test
    public void partIsNotTakenForRequest() {
      Harness harness = harness();
      List<AdmissionAction> actions = harness.arrive(prompt(harness, "r1", CRASHING));
      while (!Harness.actionsOfType(Dispatch.class, actions).isEmpty()) {
        harness.now += Samples.MILLISECOND;
        actions = harness.finish(Harness.dispatch(actions), LOST);
      }
      AdmissionAction.Refuse refusal =
          Harness.refusal(harness.arrive(prompt(harness, "r2", CRASHING)));
      assertEquals(refusal.code(), RefusalCode.PROMPT_QUARANTINED);
      assertSent(harness, "r3", CRASHING);
    }
  }

  /** What the instances tell one another. */
  public static final class SharedLosses {

    /** Guards against a call that crashes three servers through each instance. */
    @Test
    public void callIsRefusedWhereverItComes() {
      Harness harness = harness();
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of(CRASHING, 3)));
      assertRefused(harness, "r1");
      assertSent(harness, "r2", SOUND);
    }

    /** Guards against own losses that are added to the shared ones, which include them. */
    @Test
    public void ownLossesAreNotCountedTwice() {
      Harness harness = harness();
      lose(harness, 2);
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of(CRASHING, 2)));
      assertSent(harness, "last", CRASHING);
    }

    /** Guards against a call that stays refused although another instance saw it answered. */
    @Test
    public void answerElsewhereClearsOwnLosses() {
      Harness harness = harness();
      lose(harness, 3);
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of(CRASHING, 3)));
      assertRefused(harness, "r1");
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of()));
      assertSent(harness, "r2", CRASHING);
    }

    /** Guards against reports that cannot tell losses in a row from one event. */
    @Test
    public void reportsTellHowLongTheCallRan() {
      Harness harness = harness();
      Dispatch dispatch = send(harness, "r1", CRASHING);
      harness.now += 50 * Samples.MILLISECOND;
      List<AdmissionAction> actions = harness.finish(dispatch, LOST);
      BackendServerId server = dispatch.server();
      assertEquals(
          Harness.actionsOfType(ReportLostParts.class, actions),
          List.of(new ReportLostParts(server, List.of(CRASHING), 50 * Samples.MILLISECOND)));
      harness.send(new AdmissionEvent.SuspectPartsChanged(Map.of(CRASHING, 1)));
      assertEquals(
          Harness.actionsOfType(
              ReportAnsweredParts.class, harness.finish(send(harness, "r2", CRASHING), REJECTED)),
          List.of(new ReportAnsweredParts(List.of(CRASHING))));
    }
  }
}
