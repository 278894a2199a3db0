package org.teaseltrestle.control.leader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.leader.AcknowledgementBarrier.PassedOver;
import org.teaseltrestle.wire.InstanceRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link AcknowledgementBarrier}. */
public final class AcknowledgementBarrierTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long LIMIT = 3 * SECOND;

  /** Times of the clock may be negative. */
  private static final long START = -2 * SECOND;

  private static final Set<String> VOTERS = Set.of("voter-0", "voter-1", "voter-2");
  private static final long INDEX = 10;

  private AcknowledgementBarrier barrier = new AcknowledgementBarrier(START, LIMIT);

  private static InstanceRecord registered(String instance, boolean voter) {
    return InstanceRecord.newBuilder().setInstance(instance).setBoot(1).setVoter(voter).build();
  }

  private static final List<InstanceRecord> REGISTERED =
      List.of(
          registered("entry-0", false),
          registered("entry-1", false),
          registered("voter-0", true),
          registered("voter-1", true),
          registered("voter-2", true),
          registered("voter-gone", true));

  /** Starts a leadership in which nothing has been heard. */
  @BeforeMethod
  public void start() {
    barrier = new AcknowledgementBarrier(START, LIMIT);
  }

  private void heardFromAll(long appliedIndex, long nowNanos) {
    for (String instance : List.of("entry-0", "entry-1", "voter-0", "voter-1", "voter-2")) {
      barrier.heard(instance, 1, appliedIndex, nowNanos);
    }
  }

  private AcknowledgementBarrier.Status status(long nowNanos) {
    return barrier.status(INDEX, REGISTERED, VOTERS, nowNanos);
  }

  /** Waiting for instances that are heard of. */
  @Test
  public void changeWaitsForEachInstanceHeardOf() {
    heardFromAll(INDEX - 1, START);
    for (String instance : List.of("entry-1", "voter-0", "voter-1", "voter-2")) {
      barrier.heard(instance, 1, INDEX, START + 1);
    }
    assertEquals(status(START + 2).awaited(), List.of("entry-0"));
    barrier.heard("entry-0", 1, INDEX + 5, START + 3);
    AcknowledgementBarrier.Status passed = status(START + 4);
    assertEquals(passed.awaited(), List.of());
    assertTrue(passed.newlyPassed());
    assertFalse(status(START + 5).newlyPassed());
  }

  /** Guards against a leader that has just been elected and acknowledges for nodes unheard. */
  @Test
  public void newLeaderWaitsForRegisteredInstances() {
    for (String voter : VOTERS) {
      barrier.heard(voter, 1, INDEX, START);
    }
    assertEquals(status(START + 1).awaited(), List.of("entry-0", "entry-1"));
    assertEquals(status(START + LIMIT - 1).awaited(), List.of("entry-0", "entry-1"));
    AcknowledgementBarrier.Status later = status(START + LIMIT);
    assertEquals(later.awaited(), List.of());
    assertEquals(
        later.passedOver(),
        List.of(
            new PassedOver("entry-0", 3_000, OptionalLong.empty()),
            new PassedOver("entry-1", 3_000, OptionalLong.empty())));
  }

  /** Guards against a change that is acknowledged although only a minority can tell it on. */
  @Test
  public void quorumIsNeverPassedOver() {
    barrier.heard("entry-0", 1, INDEX, START);
    barrier.heard("entry-1", 1, INDEX, START);
    barrier.heard("voter-0", 1, INDEX, START);
    assertEquals(status(START + 10 * LIMIT).awaited(), List.of("voter-1", "voter-2"));
    barrier.heard("voter-2", 1, INDEX, START + 10 * LIMIT);
    assertEquals(status(START + 10 * LIMIT).awaited(), List.of());
  }

  /** Guards against an instance that is heard of but never obeys, and delays changes for good. */
  @Test
  public void instanceThatDoesNotApplyIsWaitedForLimitedTime() {
    heardFromAll(INDEX, START);
    barrier.heard("late", 7, INDEX - 1, START);
    long askedAt = START + SECOND;
    assertEquals(status(askedAt).awaited(), List.of("late"));
    for (long now = askedAt; now - askedAt < LIMIT; now += SECOND / 2) {
      barrier.heard("late", 7, INDEX - 1, now);
      assertEquals(status(now).awaited(), List.of("late"));
    }
    AcknowledgementBarrier.Status later = status(askedAt + LIMIT);
    assertEquals(later.awaited(), List.of());
    assertEquals(
        later.passedOver(), List.of(new PassedOver("late", 500, OptionalLong.of(INDEX - 1))));
  }

  /** Guards against a process that counts as having what its predecessor had. */
  @Test
  public void restartedProcessHasAppliedNothing() {
    heardFromAll(INDEX, START);
    barrier.heard("entry-0", 2, INDEX - 1, START + 1);
    assertEquals(status(START + 2).awaited(), List.of("entry-0"));
  }

  /** Guards against a node that becomes ready by an older version just before a change. */
  @Test
  public void processThatAsksForConfirmationIsWaitedFor() {
    heardFromAll(INDEX, START);
    barrier.confirming("entry-new", 1, START + 1);
    assertEquals(status(START + 2).awaited(), List.of("entry-new"));
    barrier.heard("entry-new", 1, INDEX, START + 3);
    barrier.confirming("entry-new", 1, START + 4);
    assertEquals(status(START + 5).awaited(), List.of());
  }

  /** Guards against an acknowledged change that is not acknowledged when it is sent again. */
  @Test
  public void passedChangeStaysPassed() {
    heardFromAll(INDEX, START);
    assertTrue(status(START + 1).newlyPassed());
    barrier.heard("entry-new", 1, 0, START + 2);
    assertEquals(status(START + 3).awaited(), List.of());
  }
}
