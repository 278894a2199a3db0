package org.teaseltrestle.consensus;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.teaseltrestle.consensus.SimulatedDisk.SyncTarget;
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
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      StorageSchedule schedule = new StorageSchedule(seed, null);
      schedule.run();
      powerLosses += schedule.powerLosses();
      killedStarts += schedule.killedStarts();
    }
    System.out.printf(
        "storage schedules: %d, losses of power: %d, killed starts: %d%n",
        SEEDS, powerLosses, killedStarts);
    assertTrue(powerLosses > SEEDS && killedStarts > SEEDS, "too few faults");
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
