package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.RaftMessage.VoteKind;
import org.teaseltrestle.consensus.RaftMessage.VoteRequest;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
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
}
