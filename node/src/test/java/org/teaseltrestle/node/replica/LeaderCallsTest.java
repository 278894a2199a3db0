package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of calls to the leader. */
public final class LeaderCallsTest {

  /** Repeated attempts while no leader is known. */
  public static final class Retries {

    private static final int INSTANCES = 100;
    private static final int MAXIMUM_CALLS_PER_SECOND = 400;
    private static final int SECOND_MILLISECONDS = 1_000;

    /** Guards against a hundred instances whose calls occupy the voters during an election. */
    @Test
    public void rateIsBoundedDuringAnElection() {
      int elapsed = 0;
      int attemptsInSecondSecond = 0;
      for (int failures = 0; elapsed < 2 * SECOND_MILLISECONDS; failures++) {
        elapsed += LeaderCalls.retryDelayMilliseconds(failures);
        attemptsInSecondSecond += elapsed > SECOND_MILLISECONDS ? 1 : 0;
      }
      assertTrue(attemptsInSecondSecond * INSTANCES <= MAXIMUM_CALLS_PER_SECOND);
    }

    /** Guards against a call that waits long although another voter can answer at once. */
    @Test
    public void firstRetryIsPrompt() {
      assertEquals(LeaderCalls.retryDelayMilliseconds(0), 50);
    }
  }
}
