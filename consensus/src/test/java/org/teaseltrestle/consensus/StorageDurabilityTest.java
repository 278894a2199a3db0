package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.consensus.SimulatedDisk.Killed;
import org.teaseltrestle.consensus.SimulatedDisk.SyncTarget;
import org.teaseltrestle.model.InstanceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what a replica's storage keeps over kills and losses of power, in random orders. */
public final class StorageDurabilityTest {

  private static final long FIRST_SEED = Long.getLong("trestle.seed", 1);
  private static final int SEEDS = 2_000;
  private static final int SEEDS_TO_DETECT = 1_000;

  /** Guards against a replica that loses what it acknowledged, or refuses what a disk may keep. */
  @Test
  public void nothingAcknowledgedIsLost() {
    long powerLosses = 0;
    long killedStarts = 0;
    long refusals = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      StorageSchedule schedule = new StorageSchedule(seed, null);
      schedule.run();
      powerLosses += schedule.powerLosses();
      killedStarts += schedule.killedStarts();
      refusals += schedule.refusals();
    }
    System.out.printf(
        "storage schedules: %d, losses of power: %d, killed starts: %d, refusals: %d%n",
        SEEDS, powerLosses, killedStarts, refusals);
    assertTrue(powerLosses > SEEDS && killedStarts > SEEDS && refusals > SEEDS, "too few faults");
  }

  /**
   * Guards against a kill that brings replaced entries back behind a snapshot: with them a replica
   * votes for a candidate that lacks committed entries.
   */
  @Test
  public void killedStartRestoresNoReplacedEntries() {
    for (int operations = 0; operations < 20; operations++) {
      SimulatedDisk disk = new SimulatedDisk(new Random(operations));
      store(disk, 1, 1, 3);
      store(disk, 1, 4, 5);
      store(disk, 2, 2, 3);
      try (FileReplicaStorage storage = open(disk)) {
        Configuration voters = new Configuration(List.of(storage.identity()), List.of());
        storage.saveSnapshot(new Snapshot(3, 2, voters, new byte[0]), StoredEntries.PRUNE, 4);
      }
      disk.killAfter(operations);
      try (FileReplicaStorage storage = open(disk)) {
        assertEquals(storage.recovered().entries(), List.of());
      } catch (Killed e) {
        disk.kill();
      }
      disk.killAfter(Integer.MAX_VALUE);
      try (FileReplicaStorage storage = open(disk)) {
        assertEquals(storage.recovered().entries(), List.of(), "killed after " + operations);
        storage.append(entries(2, 4, 4));
        storage.sync();
      }
      try (FileReplicaStorage storage = open(disk)) {
        assertEquals(storage.recovered().entries().size(), 1, "killed after " + operations);
      }
    }
  }

  /**
   * Guards against a loss of power while the log is pruned that keeps entries which a deleted
   * segment had replaced: they conflict with the snapshot, and the acknowledged ones go with them.
   */
  @Test
  public void powerLossWhilePruningKeepsLaterEntries() {
    for (int seed = 0; seed < 100; seed++) {
      for (int operations = 0; operations < 20; operations++) {
        SimulatedDisk disk = new SimulatedDisk(new Random(seed));
        store(disk, 1, 1, 5);
        store(disk, 2, 4, 5);
        store(disk, 2, 6, 7);
        FileReplicaStorage storage = open(disk);
        Configuration voters = new Configuration(List.of(storage.identity()), List.of());
        disk.killAfter(operations);
        try {
          storage.saveSnapshot(new Snapshot(5, 2, voters, new byte[0]), StoredEntries.PRUNE, 6);
        } catch (Killed e) {
          assertTrue(operations < 20);
        }
        disk.losePower();
        disk.killAfter(Integer.MAX_VALUE);
        List<LogEntry> entries = open(disk).recovered().entries();
        String run = "seed " + seed + ", power lost after " + operations;
        assertTrue(!entries.isEmpty(), run);
        assertEquals(entries.get(entries.size() - 1).index(), 7, run);
      }
    }
  }

  private static FileReplicaStorage open(SimulatedDisk disk) {
    return FileReplicaStorage.open(disk, new InstanceId("voter-1"), 7, Long.MAX_VALUE);
  }

  private static void store(SimulatedDisk disk, long term, long first, long last) {
    try (FileReplicaStorage storage = open(disk)) {
      storage.saveHardState(new HardState(term, null));
      storage.append(entries(term, first, last));
      storage.sync();
    }
  }

  private static List<LogEntry> entries(long term, long first, long last) {
    return LongStream.rangeClosed(first, last)
        .mapToObj(index -> new LogEntry(index, term, EntryKind.COMMAND, new byte[0]))
        .toList();
  }

  @DataProvider
  private static Object[][] syncTargets() {
    return new Object[][] {{SyncTarget.FILE}, {SyncTarget.NAMES}, {SyncTarget.FOLDER}};
  }

  /** Guards against a check that cannot fail: a sync that a start leaves out must be detected. */
  @Test(dataProvider = "syncTargets")
  public void startWithoutSyncIsDetected(SyncTarget target) {
    AssertionError error =
        expectThrows(
            AssertionError.class,
            () -> {
              for (long seed = 1; seed <= SEEDS_TO_DETECT; seed++) {
                new StorageSchedule(seed, target).run();
              }
            });
    String message = String.valueOf(error.getMessage());
    assertTrue(message.startsWith("-Dtrestle.seed="), message);
    System.out.println(target + " left out: " + message.substring(0, message.indexOf(':')));
  }
}
