package org.teaseltrestle.integration.faults;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import org.teaseltrestle.testkit.soak.SoakPlan;
import org.teaseltrestle.testkit.soak.SoakResult;
import org.teaseltrestle.testkit.soak.SoakRun;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A short run of the fault soak; {@code bin/run-soak} runs more and longer schedules. */
public final class SoakTest {

  private static final int NODES = 4;
  private static final int FAULT_SECONDS = 10;

  /** Returns the seeds: one to start with, and each that has ever shown a violated invariant. */
  @DataProvider
  public static Object[][] seeds() {
    return new Object[][] {{1L}};
  }

  /** Guards against invariants that are violated under repeated and overlapping faults. */
  @Test(dataProvider = "seeds")
  public void promisesHold(long seed) {
    Path root = Path.of(System.getProperty("trestle.root", ".."));
    Path folder = root.resolve("integration/target/soak");
    try (SoakRun run = new SoakRun(new SoakPlan(root, folder, NODES, FAULT_SECONDS), seed)) {
      SoakResult result = run.run();
      assertEquals(String.join("\n", result.problems()), "", "seed " + seed);
    }
  }
}
