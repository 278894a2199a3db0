package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.AdmissionCoreTest.Harness;
import org.testng.annotations.Test;

/** Tests of streams in a pool whose servers run several software versions. */
public final class SoftwareVersionTest {

  private static final int REQUESTS = 50;

  /** Fewer than servers without a load report take. */
  private static final int REQUESTS_AT_ONCE = 12;

  private static BackendServer engine(String id, String version) {
    return new BackendServer(
        new BackendServerId(id),
        Samples.POOL,
        new FailureDomain("a"),
        "http://127.0.0.1:1",
        Set.of(Samples.MODEL),
        BackendServer.Capacity.REGULAR,
        BackendServer.State.LIVE,
        EngineRole.MIXED,
        version);
  }

  private static Harness harness(BackendServer... engines) {
    return new Harness(
        PolicyConfiguration.builder().build(), List.of(engines), Samples.highLimits("north", 1, 0));
  }

  private static WorkRequest work(Harness harness, int number, @Nullable String version) {
    WorkRequest any =
        Samples.request(
            "r" + number,
            "north",
            10,
            10,
            harness.now + Samples.SECOND,
            WorkRequest.Repeatability.IDEMPOTENT,
            number * 0x9E3779B97F4A7C15L);
    return new WorkRequest(
        any.request(),
        any.account(),
        any.item(),
        any.pool(),
        any.kind(),
        any.repeatability(),
        any.promptTokens(),
        any.expectedOutputTokens(),
        any.sharedParts(),
        any.prefixHashes(),
        any.fingerprint(),
        any.firstTokenDeadlineNanos(),
        any.sampleBits(),
        new RequestOptions(Integer.MAX_VALUE, -1, 0, 0, version));
  }

  private static String version(AdmissionAction.Dispatch dispatch) {
    return dispatch.server().value().substring(0, 2);
  }

  /** Guards against a stream that is resumed at a server of another version. */
  @Test
  public void resumedStreamStaysAtItsVersion() {
    Harness harness = harness(engine("v1-a", "v1"), engine("v2-a", "v2"), engine("v2-b", "v2"));
    for (int i = 0; i < REQUESTS; i++) {
      AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work(harness, i, null)));
      AdmissionAction.Dispatch next =
          Harness.dispatch(
              harness.finish(
                  first, new AttemptOutcome(FailureKind.LOST_DURING_ANSWER, 3, 1_000_000)));
      assertEquals(version(next), version(first));
      harness.finish(next, new AttemptOutcome(null, 7, 1_000_000));
    }
  }

  /** Guards against a stream that waits for a version which is not listed any more. */
  @Test
  public void streamOfVersionThatIsGoneEndsAtOnce() {
    Harness harness = harness(engine("v1-a", "v1"), engine("v2-a", "v2"));
    AdmissionAction.Dispatch first = Harness.dispatch(harness.arrive(work(harness, 1, "v1")));
    assertEquals(first.server().value(), "v1-a");
    harness.send(new AdmissionEvent.FleetChanged(List.of(engine("v2-a", "v2"))));
    List<AdmissionAction> actions =
        harness.finish(first, new AttemptOutcome(FailureKind.LOST_DURING_ANSWER, 3, 1_000_000));
    assertEquals(Harness.refusal(actions).code(), RefusalCode.ANSWER_CUT);
    assertEquals(
        Harness.refusal(harness.arrive(work(harness, 2, "v1"))).code(),
        RefusalCode.STREAM_VERSION_GONE);
  }

  /** Guards against requests that begin a stream and are confined to a version. */
  @Test
  public void requestsThatBeginStreamsUseAllVersions() {
    Harness harness = harness(engine("v1-a", "v1"), engine("v2-a", "v2"));
    boolean[] used = new boolean[2];
    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
      AdmissionAction.Dispatch dispatch = Harness.dispatch(harness.arrive(work(harness, i, null)));
      used[dispatch.server().value().equals("v1-a") ? 0 : 1] = true;
    }
    assertTrue(used[0] && used[1]);
  }
}
