package org.teaseltrestle.testkit.cluster;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Waits on conditions with deadlines. */
public final class Await {

  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private Await() {}

  /** Waits until a condition holds; throws {@code UNREACHABLE} naming it when time is up. */
  public static void until(String condition, Duration limit, BooleanSupplier holds) {
    if (!holds(limit, holds)) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE, condition + " did not hold within " + limit.toMillis() + " ms");
    }
  }

  /** Waits until a condition holds and returns whether it did in time. */
  public static boolean holds(Duration limit, BooleanSupplier condition) {
    long deadline = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline >= 0) {
        return false;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
    return true;
  }
}
