package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;
import org.testng.annotations.Test;

/**
 * Guards against accounts that exceed their limits, and against limits that block accounts without
 * cause.
 */
public final class LimitsTest {

  private static final ClientAccount NORTH = new ClientAccount("north");
  private static final PlanLimits PLAN =
      new PlanLimits(NORTH, 1, 0, 1_000, 2_000, 10, 4, PlanLimits.CheapCapacity.NEVER);

  private static AccountLimiter limiter(double share, double defaultShare, long expiresAt) {
    AccountLimiter limiter = new AccountLimiter();
    limiter.grant(
        new AdmissionEvent.SharesGranted(
            Map.of(NORTH, share), Map.of(NORTH, 1e9), expiresAt, defaultShare),
        Map.of(),
        0);
    return limiter;
  }

  private static double admittedWork(AccountLimiter limiter, int work, long from, long until) {
    double admitted = 0;
    for (long now = from; now < until; now += Samples.MILLISECOND) {
      if (limiter.admit(PLAN, work, now) == null) {
        admitted += work;
        limiter.end(NORTH, 0);
      }
    }
    return admitted;
  }

  @Test
  public void workStaysWithinRateAndBurst() {
    AccountLimiter limiter = limiter(1, 1, Long.MAX_VALUE);
    double admitted = admittedWork(limiter, 200, 0, 10 * Samples.SECOND);
    assertTrue(admitted <= 12_000 && admitted >= 11_000, "admitted " + admitted);
  }

  @Test
  public void largeRequestIsAdmittedAtSmallShareWithinAverageRate() {
    AccountLimiter limiter = limiter(0.1, 0.1, Long.MAX_VALUE);
    double admitted = admittedWork(limiter, 500, 0, 60 * Samples.SECOND);
    assertTrue(admitted >= 5_500 && admitted <= 6_700, "admitted " + admitted);
  }

  @Test
  public void defaultShareAppliesAfterExpiry() {
    AccountLimiter limiter = limiter(1, 0.1, 10 * Samples.SECOND);
    admittedWork(limiter, 200, 0, 10 * Samples.SECOND);
    double admitted = admittedWork(limiter, 200, 10 * Samples.SECOND, 20 * Samples.SECOND);
    assertTrue(admitted <= 1_200 && admitted >= 800, "admitted " + admitted);
  }

  @Test
  public void actualLengthCorrectsCharge() {
    AccountLimiter limiter = limiter(1, 1, Long.MAX_VALUE);
    assertNull(limiter.admit(PLAN, 1_000, 0));
    limiter.end(NORTH, -2_000);
    AccountLimiter.Denial expected =
        new AccountLimiter.Denial(RefusalCode.RATE_LIMITED, Duration.ofMillis(1_100));
    assertEquals(limiter.admit(PLAN, 100, 0), expected);
  }

  @Test
  public void openRequestsAreLimited() {
    AccountLimiter limiter = limiter(0.5, 0.5, Long.MAX_VALUE);
    assertNull(limiter.admit(PLAN, 1, 0));
    assertNull(limiter.admit(PLAN, 1, 0));
    assertEquals(
        limiter.admit(PLAN, 1, 0),
        new AccountLimiter.Denial(RefusalCode.CONCURRENCY_LIMITED, null));
    limiter.endNotRun(NORTH, 1);
    assertNull(limiter.admit(PLAN, 1, 0));
  }

  /**
   * Guards against refusals of an account far below its limit when its requests arrive at an
   * instance that had no demand of it before.
   */
  @Test
  public void instanceWithoutDemandMayUseUnusedLimit() {
    AccountLimiter limiter = new AccountLimiter();
    limiter.grant(
        new AdmissionEvent.SharesGranted(Map.of(), Map.of(NORTH, 100.0), Long.MAX_VALUE, 1.0 / 9),
        Map.of(),
        0);
    assertNull(limiter.admit(PLAN, 300, 0));
    limiter.end(NORTH, 0);
    assertNull(limiter.admit(PLAN, 300, 0));
  }
}
