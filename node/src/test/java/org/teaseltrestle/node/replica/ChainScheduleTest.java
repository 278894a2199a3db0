package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the chain from an operator to entry nodes under random overlapping faults. */
public final class ChainScheduleTest {

  private static final long DURATION_NANOS =
      TimeUnit.SECONDS.toNanos(Integer.getInteger("trestle.chainSeconds", 20));

  private static final long FIRST_SEED = Long.getLong("trestle.chainSeed", 1);
  private static final int SEEDS = Integer.getInteger("trestle.chainSeeds", 2);

  /** Returns the seeds, run at the same time. */
  @DataProvider(parallel = true)
  public static Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    for (int i = 0; i < SEEDS; i++) {
      seeds[i] = new Object[] {FIRST_SEED + i};
    }
    return seeds;
  }

  /**
   * Guards against entry nodes in touch that are behind, changes without an answer and acknowledged
   * changes that are lost, when faults of voters, disks and links overlap.
   */
  @Test(dataProvider = "seeds")
  public void nodesInTouchKnowWhatWasAcknowledged(long seed) {
    try (ChainSchedule schedule = new ChainSchedule(seed)) {
      List<String> violations = schedule.run(DURATION_NANOS);
      assertEquals(String.join("\n", violations), "", schedule.toString());
    }
  }
}
