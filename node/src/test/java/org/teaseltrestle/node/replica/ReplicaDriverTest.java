package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.consensus.Configuration;
import org.teaseltrestle.consensus.HardState;
import org.teaseltrestle.consensus.LogEntry;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.consensus.RaftCore;
import org.teaseltrestle.consensus.RaftEvent;
import org.teaseltrestle.consensus.RaftSettings;
import org.teaseltrestle.consensus.RecoveredState;
import org.teaseltrestle.consensus.RecoverySummary;
import org.teaseltrestle.consensus.ReplicaStorage;
import org.teaseltrestle.consensus.Snapshot;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.LeaderAnswer;
import org.teaseltrestle.wire.RecordVoters;
import org.testng.annotations.Test;

/** Tests of proposals that a caller sends again while the first one is undecided. */
public final class ReplicaDriverTest {

  private static final ReplicaId SELF = new ReplicaId(new InstanceId("voter-1"), 7);
  private static final RaftSettings SETTINGS = RaftSettings.builder().build();

  private static byte[] command(String id) {
    return Command.newBuilder()
        .setRequestId(id)
        .setRecordVoters(RecordVoters.newBuilder().addInstances("voter-1"))
        .build()
        .toByteArray();
  }

  /** Returns a driver of the only voter of a group, which has become leader. */
  private static ReplicaDriver leader() {
    ReplicaStorage storage = new MemoryStorage();
    long now = SETTINGS.electionMaximumNanos() + TimeUnit.SECONDS.toNanos(1);
    ReplicaDriver driver =
        new ReplicaDriver(
            new RaftCore(SELF, SETTINGS, storage.recovered(), 0),
            storage,
            new AppliedState(),
            () -> now,
            envelope -> {},
            role -> {});
    driver.handle(new RaftEvent.Tick(0));
    driver.flush();
    return driver;
  }

  /** Guards against a large change that fills the log as it is sent again while it is undecided. */
  @Test
  public void commandThatIsSentAgainIsAppendedOnce() {
    final List<LeaderAnswer> answers = new ArrayList<>();
    final ReplicaDriver driver = leader();
    final long before = driver.core().lastIndex();
    driver.propose(command("a"), answers::add);
    driver.propose(command("a"), answers::add);
    driver.flush();
    assertEquals(driver.core().lastIndex() - before, 1);
    assertEquals(answers.size(), 2);
    assertEquals(answers.get(1), answers.get(0));
    assertEquals(answers.get(0).getStatus(), LeaderAnswer.Status.ANSWERED);
  }

  /** Guards against a command that is answered without being proposed. */
  @Test
  public void commandAfterTheAnswerIsProposedAgain() {
    final List<LeaderAnswer> answers = new ArrayList<>();
    final ReplicaDriver driver = leader();
    final long before = driver.core().lastIndex();
    for (int i = 0; i < 2; i++) {
      driver.propose(command("a"), answers::add);
      driver.flush();
    }
    assertEquals(driver.core().lastIndex() - before, 2);
    assertEquals(answers.size(), 2);
  }

  /** Storage of a group of one voter, kept in memory. */
  private static final class MemoryStorage implements ReplicaStorage {

    @Override
    public ReplicaId identity() {
      return SELF;
    }

    @Override
    public RecoveredState recovered() {
      Configuration voters = new Configuration(List.of(SELF), List.of());
      Snapshot formed = new Snapshot(1, 1, voters, new AppliedState().snapshot());
      return new RecoveredState(new HardState(1, null), formed, List.of());
    }

    @Override
    public void releaseRecovered() {}

    @Override
    public RecoverySummary recoverySummary() {
      throw new UnsupportedOperationException();
    }

    @Override
    public void saveHardState(HardState state) {}

    @Override
    public void append(List<LogEntry> entries) {}

    @Override
    public void saveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex) {}

    @Override
    public void sync() {}

    @Override
    public void close() {}
  }
}
