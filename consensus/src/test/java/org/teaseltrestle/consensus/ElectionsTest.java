package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.RaftMessage.VoteKind;
import org.teaseltrestle.consensus.RaftMessage.VoteRequest;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how long a group is without a leader. */
public final class ElectionsTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ReplicaId FIRST = new ReplicaId(new InstanceId("voter-1"), 7);
  private static final ReplicaId SECOND = new ReplicaId(new InstanceId("voter-2"), 8);
  private static final ReplicaId THIRD = new ReplicaId(new InstanceId("voter-3"), 9);

  /** Returns a voter that heard the first voter lead at 5 ms, and then waits for two seconds. */
  private static RaftCore follower(ReplicaId self) {
    Configuration voters = new Configuration(List.of(FIRST, SECOND, THIRD), List.of());
    RecoveredState formed =
        new RecoveredState(
            new HardState(1, null), new Snapshot(1, 1, voters, new byte[0]), List.of());
    RaftCore core = new RaftCore(self, RaftSettings.builder().build(), formed, 0);
    core.handle(new RaftEvent.Tick(1), 0);
    LogEntry entry = new LogEntry(2, 1, EntryKind.COMMAND, new byte[0]);
    receive(
        core,
        FIRST,
        new RaftMessage.AppendRequest(1, 1, 1, List.of(entry), 1, 0, OptionalLong.empty()),
        5);
    return core;
  }

  private static List<RaftAction> receive(
      RaftCore core, ReplicaId from, RaftMessage message, long atMilliseconds) {
    return core.handle(
        new RaftEvent.Received(
            new RaftEnvelope(from, core.self().instance(), core.self(), message)),
        atMilliseconds * MILLISECOND);
  }

  private static List<RaftMessage> messagesTo(ReplicaId receiver, List<RaftAction> actions) {
    List<RaftMessage> messages = new ArrayList<>();
    for (RaftAction action : actions) {
      if (action instanceof RaftAction.Send send && receiver.equals(send.envelope().to())) {
        messages.add(send.envelope().message());
      }
    }
    return messages;
  }

  /** Tests of a candidate whose log is shorter than that of a voter. */
  public static final class ShorterLogTest {

    private static final VoteRequest SHORTER = new VoteRequest(2, VoteKind.PRE_VOTE, 1, 1);

    /**
     * Guards against a group that stays without a leader for up to an election timeout, because the
     * only replica that can win waits for its own timeout after it has refused another one.
     */
    @Test
    public void replicaWithLongerLogCampaignsAtNextTick() {
      RaftCore core = follower(THIRD);
      assertEquals(
          messagesTo(SECOND, receive(core, SECOND, SHORTER, 1_100)),
          List.of(new RaftMessage.VoteResponse(1, VoteKind.PRE_VOTE, false)));
      assertEquals(core.role(), RaftRole.FOLLOWER);
      core.handle(new RaftEvent.Tick(1), 1_140 * MILLISECOND);
      assertEquals(core.role(), RaftRole.PRE_CANDIDATE);
    }

    /** Guards against a replica that campaigns while a leader may hold its lease. */
    @Test
    public void replicaThatHeardLeaderWaits() {
      RaftCore core = follower(THIRD);
      receive(core, SECOND, SHORTER, 1_000);
      for (long millis = 1_040; millis < 2_000; millis += 40) {
        core.handle(new RaftEvent.Tick(1), millis * MILLISECOND);
        assertEquals(core.role(), RaftRole.FOLLOWER);
      }
    }
  }

  /** Tests of two replicas that campaign at the same time, with equal logs. */
  public static final class TiedCampaignsTest {

    private static final int SEEDS = Integer.getInteger("trestle.electionSeeds", 3_000);
    private static final long TIMEOUT_MILLISECONDS = 2_006;
    private static final VoteRequest EQUAL = new VoteRequest(2, VoteKind.PRE_VOTE, 2, 1);

    private static RaftCore campaigning(ReplicaId self) {
      RaftCore core = follower(self);
      core.handle(new RaftEvent.Tick(1), TIMEOUT_MILLISECONDS * MILLISECOND);
      assertEquals(core.role(), RaftRole.PRE_CANDIDATE);
      return core;
    }

    /**
     * Guards against two candidates that take each other's vote and both wait for a second timeout.
     */
    @Test
    public void replicaWithHigherIdGoesOn() {
      RaftCore second = campaigning(SECOND);
      RaftCore third = campaigning(THIRD);
      // The third one refuses, and asks again in case its first request was lost.
      assertEquals(
          messagesTo(SECOND, receive(third, SECOND, EQUAL, TIMEOUT_MILLISECONDS + 1)),
          List.of(EQUAL, new RaftMessage.VoteResponse(1, VoteKind.PRE_VOTE, false)));
      assertEquals(
          messagesTo(THIRD, receive(second, THIRD, EQUAL, TIMEOUT_MILLISECONDS + 1)),
          List.of(new RaftMessage.VoteResponse(2, VoteKind.PRE_VOTE, true)));
      assertEquals(second.role(), RaftRole.FOLLOWER);
      RaftMessage granted = new RaftMessage.VoteResponse(2, VoteKind.PRE_VOTE, true);
      receive(second, THIRD, granted, TIMEOUT_MILLISECONDS + 2);
      assertEquals(second.role(), RaftRole.FOLLOWER);
      receive(third, SECOND, granted, TIMEOUT_MILLISECONDS + 2);
      assertEquals(third.role(), RaftRole.CANDIDATE);
    }

    /** Guards against a replica that cannot win and refuses another one that can. */
    @Test
    public void replicaThatFailedOnceGrantsThePreVote() {
      RaftCore third = campaigning(THIRD);
      long later = 2 * TIMEOUT_MILLISECONDS;
      third.handle(new RaftEvent.Tick(1), later * MILLISECOND);
      assertEquals(
          messagesTo(SECOND, receive(third, SECOND, EQUAL, later + 1)),
          List.of(new RaftMessage.VoteResponse(2, VoteKind.PRE_VOTE, true)));
    }

    /** Guards against a replica that refuses another one which has refused it. */
    @Test
    public void replicaThatWasRefusedGrantsThePreVote() {
      RaftCore third = campaigning(THIRD);
      RaftMessage refused = new RaftMessage.VoteResponse(1, VoteKind.PRE_VOTE, false);
      receive(third, SECOND, refused, TIMEOUT_MILLISECONDS + 1);
      assertEquals(
          messagesTo(SECOND, receive(third, SECOND, EQUAL, TIMEOUT_MILLISECONDS + 2)),
          List.of(new RaftMessage.VoteResponse(2, VoteKind.PRE_VOTE, true)));
    }

    /** Returns what happens after an entry was acknowledged. */
    @DataProvider
    public static Object[][] losses() {
      return new Object[][] {
        {ElectionSchedule.Loss.LEADER},
        {ElectionSchedule.Loss.ALL_PROCESSES},
        {ElectionSchedule.Loss.ALL_PROCESSES_AND_LEADER},
      };
    }

    /**
     * Guards against groups that need two election timeouts for a leader: entry nodes are without
     * the acknowledged configuration meanwhile.
     */
    @Test(dataProvider = "losses")
    public void leaderIsElectedWithinOneTimeout(ElectionSchedule.Loss loss) {
      long[] millis = new long[SEEDS];
      for (int i = 0; i < SEEDS; i++) {
        millis[i] =
            TimeUnit.NANOSECONDS.toMillis(new ElectionSchedule(i + 1).nanosWithoutLeader(loss));
      }
      Arrays.sort(millis);
      System.out.printf(
          "elections, %s: median %d ms, 99%% %d ms, longest %d ms%n",
          loss, millis[SEEDS / 2], millis[SEEDS * 99 / 100], millis[SEEDS - 1]);
      // The longest timeout, a tick, and the messages and syncs of an election.
      assertTrue(millis[SEEDS - 1] < 1_600 + 40 + 200, millis[SEEDS - 1] + " ms without a leader");
    }
  }
}
