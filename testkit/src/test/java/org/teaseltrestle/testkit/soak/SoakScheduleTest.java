package org.teaseltrestle.testkit.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of the seeded fault schedules. */
public final class SoakScheduleTest {

  private static final int SEEDS = 200;
  private static final long LENGTH_MILLIS = 20_000;

  private static final FaultScheduleInput INPUT =
      new FaultScheduleInput(
          List.of("a", "b", "c", "d"),
          List.of("a", "b", "c"),
          List.of(List.of("a"), List.of("b"), List.of("c"), List.of("d")),
          List.of("engine-1", "engine-2"),
          LENGTH_MILLIS);

  /** Guards against a failing seed that cannot be reproduced. */
  @Test
  public void equalSeedsGiveEqualSchedules() {
    assertEquals(SoakSchedule.of(7, INPUT), SoakSchedule.of(7, INPUT));
    assertNotEquals(SoakSchedule.of(7, INPUT), SoakSchedule.of(8, INPUT));
  }

  /** Guards against faults that last beyond the time from which the cluster must recover. */
  @Test
  public void everyFaultEndsWithinSchedule() {
    for (int seed = 0; seed < SEEDS; seed++) {
      for (ScheduledFault scheduled : SoakSchedule.of(seed, INPUT)) {
        assertTrue(scheduled.fromMillis() <= scheduled.untilMillis(), scheduled.toString());
        assertTrue(scheduled.untilMillis() <= LENGTH_MILLIS, scheduled.toString());
      }
    }
  }

  /**
   * Guards against a second lost disk, after which losing accepted changes would be no violation.
   */
  @Test
  public void atMostOneDiskIsDamaged() {
    for (int seed = 0; seed < SEEDS; seed++) {
      long damaged =
          SoakSchedule.of(seed, INPUT).stream()
              .filter(scheduled -> scheduled.fault().damagesDisk())
              .count();
      assertTrue(damaged <= 1, "seed " + seed);
    }
  }

  /** Guards against schedules without overlapping faults, and against kinds that never occur. */
  @Test
  public void faultsOverlapAndAllKindsOccur() {
    Set<SoakFault> occurred = EnumSet.noneOf(SoakFault.class);
    int overlapping = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      List<ScheduledFault> schedule = SoakSchedule.of(seed, INPUT);
      schedule.forEach(scheduled -> occurred.add(scheduled.fault()));
      for (int i = 1; i < schedule.size(); i++) {
        overlapping += schedule.get(i).fromMillis() < schedule.get(i - 1).untilMillis() ? 1 : 0;
      }
    }
    assertEquals(occurred, EnumSet.allOf(SoakFault.class));
    assertTrue(overlapping > SEEDS, overlapping + " overlaps");
  }
}
