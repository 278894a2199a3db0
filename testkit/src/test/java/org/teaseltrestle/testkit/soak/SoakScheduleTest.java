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

  private static final SoakShape SHAPE =
      new SoakShape(
          List.of("a", "b", "c", "d"),
          List.of("a", "b", "c"),
          List.of(List.of("a"), List.of("b"), List.of("c"), List.of("d")),
          List.of("engine-1", "engine-2"),
          LENGTH_MILLIS);

  /** Guards against a failing seed that cannot be played again. */
  @Test
  public void equalSeedsGiveEqualSchedules() {
    assertEquals(SoakSchedule.of(7, SHAPE), SoakSchedule.of(7, SHAPE));
    assertNotEquals(SoakSchedule.of(7, SHAPE), SoakSchedule.of(8, SHAPE));
  }

  /** Guards against faults that outlast the time after which everything must recover. */
  @Test
  public void everyFaultEndsInTime() {
    for (int seed = 0; seed < SEEDS; seed++) {
      for (SoakStep step : SoakSchedule.of(seed, SHAPE)) {
        assertTrue(step.fromMillis() <= step.untilMillis(), step.toString());
        assertTrue(step.untilMillis() <= LENGTH_MILLIS, step.toString());
      }
    }
  }

  /** Guards against a second lost disk, after which accepted changes may rightly be gone. */
  @Test
  public void oneDiskAtMostIsChanged() {
    for (int seed = 0; seed < SEEDS; seed++) {
      long changed =
          SoakSchedule.of(seed, SHAPE).stream().filter(step -> step.fault().changesDisk()).count();
      assertTrue(changed <= 1, "seed " + seed);
    }
  }

  /** Guards against schedules that never overlap, come without series or leave faults out. */
  @Test
  public void faultsOverlapAndAllKindsCome() {
    Set<SoakFault> seen = EnumSet.noneOf(SoakFault.class);
    int overlapping = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      List<SoakStep> steps = SoakSchedule.of(seed, SHAPE);
      steps.forEach(step -> seen.add(step.fault()));
      for (int i = 1; i < steps.size(); i++) {
        overlapping += steps.get(i).fromMillis() < steps.get(i - 1).untilMillis() ? 1 : 0;
      }
    }
    assertEquals(seen, EnumSet.allOf(SoakFault.class));
    assertTrue(overlapping > SEEDS, overlapping + " overlaps");
  }
}
