package org.teaseltrestle.consensus;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the Raft core. */
public final class RaftCoreTest {

  private static final long FIRST_SEED = Long.getLong("trestle.seed", 1);
  private static final long FAULT_SECONDS = Long.getLong("trestle.faultSeconds", 0);
  private static final int DEFAULT_SEEDS = 60;
  private static final int REPLACEMENT_SEEDS = Integer.getInteger("trestle.replacementSeeds", 60);

  /** Guards against violations of the safety of Raft or of the authority lease under faults. */
  public static final class RandomFaultsTest {

    @Test
    public void staysSafeAndRecovers() {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAULT_SECONDS);
      long seed = FIRST_SEED;
      while (seed < FIRST_SEED + DEFAULT_SEEDS || System.nanoTime() - end < 0) {
        run(seed++, RandomSchedule.Variant.COMPLETE);
      }
      System.out.println("raft schedules: " + FIRST_SEED + " to " + (seed - 1));
    }

    /** Guards against a group that loses entries because it removes a silent voter. */
    @Test
    public void staysSafeAndRecoversWithOpenMembership() {
      for (long seed = FIRST_SEED; seed < FIRST_SEED + DEFAULT_SEEDS; seed++) {
        run(seed, RandomSchedule.Variant.OPEN_MEMBERSHIP);
      }
    }

    /**
     * Guards against entries that are lost, or counted as known before they are, when machines are
     * replaced for good and lose disks and power right after they accepted an entry.
     */
    @Test
    public void staysSafeWhenMachinesAreReplacedAndLoseDisksAndPower() {
      long replacements = 0;
      long disksLost = 0;
      for (long seed = FIRST_SEED; seed < FIRST_SEED + REPLACEMENT_SEEDS; seed++) {
        RandomSchedule schedule = run(seed, RandomSchedule.Variant.REPLACEMENTS);
        replacements += schedule.replacements();
        disksLost += schedule.disksLostAfterAcceptance();
      }
      System.out.printf(
          "raft schedules on disks: %d to %d, machines replaced: %d, disks lost: %d%n",
          FIRST_SEED, FIRST_SEED + REPLACEMENT_SEEDS - 1, replacements, disksLost);
      assertTrue(2 * replacements > REPLACEMENT_SEEDS, "too few replacements");
      assertTrue(2 * disksLost > REPLACEMENT_SEEDS, "too few disks lost");
    }
  }

  /** Guards against a checker that does not detect a missing safety mechanism. */
  public static final class MissingMechanismTest {

    private static final int MAXIMUM_SEEDS = 3_000;

    /** Returns the variants that leave out one mechanism each. */
    @DataProvider
    public Object[][] variants() {
      return new Object[][] {
        {RandomSchedule.Variant.VOTE_NOT_PERSISTED},
        {RandomSchedule.Variant.EMPTY_DISK_KEEPS_IDENTITY},
        {RandomSchedule.Variant.RESPONSE_BEFORE_SYNC},
        {RandomSchedule.Variant.CLOCK_DRIFT_BEYOND_BOUND},
      };
    }

    @Test(dataProvider = "variants")
    public void isDetected(RandomSchedule.Variant variant) {
      for (long seed = 1; seed <= MAXIMUM_SEEDS; seed++) {
        try {
          run(seed, variant);
        } catch (AssertionError violation) {
          if (violation.getCause() instanceof SafetyChecker.SafetyViolation) {
            System.out.println(variant + ": " + violation.getMessage());
            return;
          }
        }
      }
      assertTrue(false, variant + " was not detected in " + MAXIMUM_SEEDS + " seeds");
    }
  }

  private static RandomSchedule run(long seed, RandomSchedule.Variant variant) {
    try {
      RandomSchedule schedule = new RandomSchedule(seed, variant);
      schedule.run();
      return schedule;
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("-Dtrestle.seed=" + seed + ": " + e.getMessage(), e);
    }
  }
}
