package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.testng.annotations.Test;

/** Tests of how old a replica's news of a leader is. */
public final class LeaderAgeTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ReplicaId SELF = new ReplicaId(new InstanceId("voter-1"), 7);
  private static final ReplicaId SECOND = new ReplicaId(new InstanceId("voter-2"), 8);
  private static final ReplicaId THIRD = new ReplicaId(new InstanceId("voter-3"), 9);
  private static final Configuration VOTERS =
      new Configuration(List.of(SELF, SECOND, THIRD), List.of());

  private static RaftCore core(RaftSettings settings) {
    return core(SELF, settings);
  }

  private static RaftCore core(ReplicaId self, RaftSettings settings) {
    Snapshot formed = new Snapshot(1, 1, VOTERS, new byte[0]);
    return new RaftCore(
        self, settings, new RecoveredState(new HardState(1, null), formed, List.of()), 0);
  }

  private static RaftEvent received(RaftMessage message) {
    return new RaftEvent.Received(new RaftEnvelope(SECOND, SELF.instance(), SELF, message));
  }

  /**
   * Guards against a leader that is cut off and tells the nodes that follow it that its news is
   * fresh, until it notices: they then obey an old configuration for longer than allowed.
   */
  @Test
  public void newsOfLeaderIsAsOldAsItsLastConfirmedRound() {
    RaftSettings settings = RaftSettings.builder().build();
    RaftCore core = core(settings);
    long elected = settings.electionMaximumNanos() + 1;
    core.handle(new RaftEvent.Tick(0), elected);
    core.handle(
        received(new RaftMessage.VoteResponse(2, RaftMessage.VoteKind.PRE_VOTE, true)), elected);
    core.handle(
        received(new RaftMessage.VoteResponse(2, RaftMessage.VoteKind.VOTE, true)), elected);
    assertEquals(core.role(), RaftRole.LEADER);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.empty());
    core.handle(received(new RaftMessage.AppendResponse(2, true, 2, elected)), elected);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.of(elected));
    // From here on the leader is cut off.
    for (long millis = 40; millis <= 960; millis += 40) {
      core.handle(new RaftEvent.Tick(0), elected + millis * MILLISECOND);
      assertEquals(core.role(), RaftRole.LEADER);
      assertEquals(core.committedKnownAtNanos(), OptionalLong.of(elected));
    }
  }

  /** Guards against a follower whose news stays fresh after its leader has fallen silent. */
  @Test
  public void newsOfFollowerIsAsOldAsTheLastMessageOfTheLeader() {
    RaftCore core = core(RaftSettings.builder().build());
    core.handle(received(request(1, List.of(entry(2, 2)), 2)), 5 * MILLISECOND);
    core.handle(new RaftEvent.Tick(0), 400 * MILLISECOND);
    assertEquals(core.leader(), SECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.of(5 * MILLISECOND));
  }

  /** Guards against a follower that counts as fresh while it lacks what the leader committed. */
  @Test
  public void followerThatIsBehindItsLeaderHasNoNews() {
    RaftCore core = core(RaftSettings.builder().build());
    core.handle(received(request(1, List.of(entry(2, 2)), 2)), 5 * MILLISECOND);
    // The entries before the fortieth are missing, then those after the third.
    core.handle(received(request(40, List.of(entry(41, 2)), 41)), 10 * MILLISECOND);
    core.handle(received(request(2, List.of(entry(3, 2)), 41)), 20 * MILLISECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.of(5 * MILLISECOND));
    core.handle(received(request(3, List.of(entry(4, 2)), 4)), 30 * MILLISECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.of(30 * MILLISECOND));
  }

  /** Guards against a follower that counts as fresh while it receives a snapshot. */
  @Test
  public void followerThatReceivesSnapshotHasNoNews() {
    RaftCore core = core(RaftSettings.builder().build());
    RaftMessage chunk =
        new RaftMessage.SnapshotChunk(2, 40, 2, VOTERS, 10, 0, new byte[5], 5 * MILLISECOND);
    core.handle(received(chunk), 5 * MILLISECOND);
    assertEquals(core.leader(), SECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.empty());
  }

  /** Guards against news of a new leader, which may not know all committed entries yet. */
  @Test
  public void leaderThatHasCommittedNothingInItsTermMakesNoNews() {
    RaftCore core = core(RaftSettings.builder().build());
    core.handle(received(request(1, List.of(entry(2, 2)), 1)), 5 * MILLISECOND);
    assertEquals(core.leader(), SECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.empty());
    core.handle(received(request(2, List.of(), 2)), 6 * MILLISECOND);
    assertEquals(core.committedKnownAtNanos(), OptionalLong.of(6 * MILLISECOND));
  }

  /**
   * Guards against a follower that counts as fresh while it hears a leader which has lost its
   * quorum: the nodes below it obey an old configuration for an election timeout longer.
   */
  @Test
  public void newsOfFollowerIsNotNewerThanThatOfItsLeader() {
    RaftSettings settings = RaftSettings.builder().build();
    RaftCore leader = core(settings);
    RaftCore follower = core(SECOND, settings);
    long elected = settings.electionMaximumNanos() + 1;
    leader.handle(new RaftEvent.Tick(0), elected);
    leader.handle(
        received(new RaftMessage.VoteResponse(2, RaftMessage.VoteKind.PRE_VOTE, true)), elected);
    List<RaftAction> actions =
        leader.handle(
            received(new RaftMessage.VoteResponse(2, RaftMessage.VoteKind.VOTE, true)), elected);
    while (!actions.isEmpty()) {
      actions = deliver(deliver(actions, follower, elected), leader, elected);
    }
    assertEquals(follower.committedKnownAtNanos(), OptionalLong.of(elected));
    // From here on the responses are lost.
    for (long millis = 100; millis <= 900; millis += 100) {
      long now = elected + millis * MILLISECOND;
      deliver(leader.handle(new RaftEvent.Tick(0), now), follower, now);
      assertEquals(leader.role(), RaftRole.LEADER);
      assertEquals(follower.leader(), SELF);
      assertEquals(follower.committedKnownAtNanos(), OptionalLong.of(elected));
    }
  }

  private static List<RaftAction> deliver(List<RaftAction> actions, RaftCore receiver, long now) {
    List<RaftAction> results = new ArrayList<>();
    for (RaftAction action : actions) {
      if (action instanceof RaftAction.Send send
          && send.envelope().instance().equals(receiver.self().instance())) {
        results.addAll(receiver.handle(new RaftEvent.Received(send.envelope()), now));
      }
    }
    return results;
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.NO_OP, new byte[0]);
  }

  private static RaftMessage request(long previous, List<LogEntry> entries, long commitIndex) {
    return new RaftMessage.AppendRequest(
        2, previous, previous == 1 ? 1 : 2, entries, commitIndex, 0, OptionalLong.of(0));
  }
}
