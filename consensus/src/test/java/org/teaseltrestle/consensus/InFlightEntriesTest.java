package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.testng.annotations.Test;

/** Tests of what a leader sends to a follower whose responses are on their way. */
public final class InFlightEntriesTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int COMMAND_BYTES = 390_000;
  private static final int CHUNK_BYTES = 1_000;
  private static final int SNAPSHOT_BYTES = 2_500;
  private static final int HEARTBEATS = 8;

  private static final ReplicaId LEADER = new ReplicaId(new InstanceId("voter-1"), 7);
  private static final ReplicaId SLOW = new ReplicaId(new InstanceId("voter-2"), 8);
  private static final ReplicaId FAST = new ReplicaId(new InstanceId("voter-3"), 9);
  private static final Configuration VOTERS =
      new Configuration(List.of(LEADER, SLOW, FAST), List.of());
  private static final Snapshot FORMED = new Snapshot(1, 1, VOTERS, new byte[0]);

  /**
   * Guards against reads and heartbeats that send a slow follower the same entries again and again,
   * so that its link has no room for anything else.
   */
  @Test
  public void entriesInFlightAreNotRepeated() {
    Group group = new Group(FORMED);
    group.propose();
    group.readAndHeartbeat();
    assertEquals(group.entryBytesToSlow(), COMMAND_BYTES);
    assertEquals(group.confirmedReads, HEARTBEATS);
    group.deliverToSlow();
    group.heartbeat();
    group.deliverToSlow();
    assertEquals(group.entryBytesToSlow(), COMMAND_BYTES);
    assertEquals(group.slow.commitIndex(), group.leader.lastIndex());
  }

  /** Guards against entries that were lost and are not sent again, or only after a timeout. */
  @Test
  public void lostEntriesAreSentAgainOnceLaterRequestIsAnswered() {
    Group group = new Group(FORMED);
    group.propose();
    group.toSlow.clear();
    group.heartbeat();
    group.deliverToSlow();
    assertEquals(group.slow.lastIndex(), group.leader.lastIndex());
    assertEquals(group.entryBytesToSlow(), 2 * COMMAND_BYTES);
  }

  /** Guards against entries that wait for the response to a heartbeat. */
  @Test
  public void newEntriesDoNotWaitForHeartbeat() {
    Group group = new Group(FORMED);
    group.heartbeat();
    group.propose();
    assertEquals(group.entryBytesToSlow(), COMMAND_BYTES);
  }

  /** Guards against reads that heartbeats without entries do not confirm. */
  @Test
  public void readIsConfirmedByFollowerWithEntriesInFlight() {
    Group group = new Group(FORMED);
    group.fastIsCutOff = true;
    group.propose();
    group.advance(10);
    group.read();
    group.deliverToSlow(group.toSlow.remove());
    assertEquals(group.leader.commitIndex(), group.leader.lastIndex());
    assertEquals(group.confirmedReads, 0);
    group.deliverToSlow();
    assertEquals(group.confirmedReads, 1);
  }

  /** Guards against reads and heartbeats that repeat parts of a snapshot that are on their way. */
  @Test
  public void chunkInFlightIsNotRepeated() {
    Group group = new Group(new Snapshot(10, 1, VOTERS, new byte[SNAPSHOT_BYTES]));
    assertEquals(group.chunkBytesToSlow(), CHUNK_BYTES);
    group.readAndHeartbeat();
    assertEquals(group.chunkBytesToSlow(), CHUNK_BYTES);
    assertEquals(group.confirmedReads, HEARTBEATS);
    group.deliverToSlow();
    assertEquals(group.chunkBytesToSlow(), SNAPSHOT_BYTES);
    assertEquals(group.slow.lastIndex(), group.leader.lastIndex());
  }

  /** Guards against a snapshot that stops at a part that was lost. */
  @Test
  public void lostChunkIsSentAgainOnceLaterRequestIsAnswered() {
    Group group = new Group(new Snapshot(10, 1, VOTERS, new byte[SNAPSHOT_BYTES]));
    group.toSlow.clear();
    group.heartbeat();
    group.deliverToSlow();
    assertEquals(group.chunkBytesToSlow(), CHUNK_BYTES + SNAPSHOT_BYTES);
    assertEquals(group.slow.lastIndex(), group.leader.lastIndex());
  }

  /** Three voters; what is sent to the slow one waits until it is delivered. */
  private static final class Group {
    final RaftSettings settings = RaftSettings.builder().snapshotChunkBytes(CHUNK_BYTES).build();
    final RaftCore leader;
    final RaftCore slow;
    final RaftCore fast;
    final Deque<RaftEnvelope> toSlow = new ArrayDeque<>();
    final List<RaftMessage> sentToSlow = new ArrayList<>();
    boolean fastIsCutOff;
    int confirmedReads;
    long nextId;
    long nowNanos;

    /** Creates a group whose slow voter has only the first entry, and elects the leader. */
    Group(Snapshot recovered) {
      leader = core(LEADER, recovered);
      slow = core(SLOW, FORMED);
      fast = core(FAST, recovered);
      nowNanos = settings.electionMaximumNanos() + 1;
      handle(leader, new RaftEvent.Tick(0));
      assertEquals(leader.role(), RaftRole.LEADER);
      while (sentToSlow.stream().noneMatch(SnapshotChunk.class::isInstance) && !toSlow.isEmpty()) {
        deliverToSlow(toSlow.remove());
      }
      assertTrue(leader.hasCommittedInCurrentTerm());
    }

    private RaftCore core(ReplicaId self, Snapshot recovered) {
      return new RaftCore(
          self, settings, new RecoveredState(new HardState(1, null), recovered, List.of()), 0);
    }

    void propose() {
      handle(leader, new RaftEvent.Propose(nextId++, new byte[COMMAND_BYTES]));
    }

    void read() {
      handle(leader, new RaftEvent.ReadIndex(nextId++));
    }

    void heartbeat() {
      advance(100);
      handle(leader, new RaftEvent.Tick(0));
    }

    void readAndHeartbeat() {
      for (int i = 0; i < HEARTBEATS; i++) {
        advance(50);
        read();
        heartbeat();
      }
    }

    void advance(long milliseconds) {
      nowNanos += milliseconds * MILLISECOND;
    }

    /** Delivers what is on its way to the slow voter, and what it causes. */
    void deliverToSlow() {
      while (!toSlow.isEmpty()) {
        deliverToSlow(toSlow.remove());
      }
    }

    void deliverToSlow(RaftEnvelope envelope) {
      advance(1);
      handle(slow, new RaftEvent.Received(envelope));
    }

    long entryBytesToSlow() {
      return sentToSlow.stream()
          .filter(AppendRequest.class::isInstance)
          .flatMap(message -> ((AppendRequest) message).entries().stream())
          .mapToLong(entry -> entry.payload().length)
          .sum();
    }

    long chunkBytesToSlow() {
      return sentToSlow.stream()
          .filter(SnapshotChunk.class::isInstance)
          .mapToLong(message -> ((SnapshotChunk) message).data().length)
          .sum();
    }

    private void handle(RaftCore core, RaftEvent event) {
      for (RaftAction action : core.handle(event, nowNanos)) {
        if (action instanceof RaftAction.Send send) {
          transmit(send.envelope());
        } else if (action instanceof RaftAction.ReadConfirmed) {
          confirmedReads++;
        }
      }
    }

    private void transmit(RaftEnvelope envelope) {
      if (envelope.instance().equals(SLOW.instance())) {
        toSlow.add(envelope);
        sentToSlow.add(envelope.message());
      } else if (envelope.instance().equals(LEADER.instance())) {
        handle(leader, new RaftEvent.Received(envelope));
      } else if (!fastIsCutOff) {
        handle(fast, new RaftEvent.Received(envelope));
      }
    }
  }
}
