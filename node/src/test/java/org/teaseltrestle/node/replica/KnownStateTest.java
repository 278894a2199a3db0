package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;
import org.testng.annotations.Test;

/** Tests of how old what a node knows is, with ages set by hand. */
public final class KnownStateTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long LIMIT = 2_800 * MILLISECOND;

  /** Passes knowledge to the next node, whose clock is unrelated to that of the sender. */
  private static KnownState hop(KnownState known, long index, long sentAt, long receivedAt)
      throws InvalidProtocolBufferException {
    CommittedCommands.Builder message = CommittedCommands.newBuilder().setAppliedIndex(index);
    known.writeTo(message, sentAt);
    return KnownState.received(
        CommittedCommands.parseFrom(message.build().toByteArray()), receivedAt);
  }

  /** Guards against a hop of the tree that makes the news of a leader younger. */
  @Test
  public void ageGrowsOverEachOfThreeHops() throws InvalidProtocolBufferException {
    KnownState voter = KnownState.asOf(9, 1_000 * MILLISECOND - 1);
    KnownState first = hop(voter, 9, 1_700 * MILLISECOND, 50 * MILLISECOND);
    assertEquals(first.ageMillis(50 * MILLISECOND), 701);
    KnownState second = hop(first, 9, 1_050 * MILLISECOND, -7 * MILLISECOND);
    assertEquals(second.ageMillis(-7 * MILLISECOND), 1_701);
    KnownState third = hop(second, 9, 993 * MILLISECOND, 0);
    assertEquals(third.ageMillis(0), 2_701);
    assertEquals(third.index(), 9);
    assertFalse(third.isOlderThan(LIMIT, 99 * MILLISECOND));
    assertTrue(third.isOlderThan(LIMIT, 100 * MILLISECOND));
  }

  /** Guards against nodes below one that never heard from a leader which count it as fresh. */
  @Test
  public void unknownStaysUnknownOverThreeHops() throws InvalidProtocolBufferException {
    KnownState known = KnownState.UNKNOWN;
    for (int i = 0; i < 3; i++) {
      known = hop(known, 9, 0, 0);
      assertEquals(known, KnownState.UNKNOWN);
      assertTrue(known.isOlderThan(Long.MAX_VALUE, 0));
    }
    KnownState news = KnownState.asOf(1, 5);
    assertEquals(known.newerOf(news), news);
    assertEquals(news.newerOf(known), news);
  }

  /** Guards against processes of an earlier version that read the flag for unknown as fresh. */
  @Test
  public void processesWithoutTheFlagUnderstandTheAge() {
    CommittedCommands.Builder message = CommittedCommands.newBuilder();
    KnownState.UNKNOWN.writeTo(message, 0);
    assertTrue(
        TimeUnit.MILLISECONDS.toNanos(message.getRootAgeMillis())
            > DisseminationTreeSettings.DEEP.rootTimeoutNanos());
    CommittedCommands earlier = CommittedCommands.newBuilder().setRootAgeMillis(40).build();
    assertEquals(KnownState.received(earlier, 0).ageMillis(0), 40);
  }

  /** Guards against an age out of range that counts as news from the future. */
  @Test
  public void ageOutOfRangeIsUnknown() {
    CommittedCommands message = CommittedCommands.newBuilder().setRootAgeMillis(-1).build();
    assertEquals(KnownState.received(message, 0), KnownState.UNKNOWN);
  }

  /** Guards against news that counts as recent although it was long on its way. */
  @Test
  public void provenAgeCountsFromTheBundleThatTheParentHad() {
    CommittedCommands message =
        CommittedCommands.newBuilder()
            .setAppliedIndex(9)
            .setRootAgeMillis(40)
            .setBundleSentAtNanos(1_000 * MILLISECOND)
            .build();
    long now = 4_000 * MILLISECOND;
    assertEquals(KnownState.proven(message, 0, now).ageMillis(now), 3_040);
    assertEquals(KnownState.proven(message, 1_001 * MILLISECOND, now), KnownState.UNKNOWN);
    assertEquals(KnownState.proven(message, 0, 999 * MILLISECOND), KnownState.UNKNOWN);
  }

  /** Guards against nodes that refuse nothing for good below a parent of an earlier version. */
  @Test
  public void newsOfEarlierVersionCountsFromItsArrival() {
    CommittedCommands message = CommittedCommands.newBuilder().setRootAgeMillis(40).build();
    assertEquals(KnownState.proven(message, 0, 50 * MILLISECOND).ageMillis(50 * MILLISECOND), 40);
  }
}
