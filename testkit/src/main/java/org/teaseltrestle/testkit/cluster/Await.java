package org.teaseltrestle.testkit.cluster;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Polls conditions until they hold or a timeout expires. */
public final class Await {

  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private Await() {}

  /** Waits until a condition holds; throws {@code UNREACHABLE} with its description on timeout. */
  public static void until(String description, Duration timeout, BooleanSupplier condition) {
    if (!holdsWithin(timeout, condition)) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          description + ": condition not met within " + timeout.toMillis() + " ms");
    }
  }

  /** Waits until a condition holds and returns whether it held before the timeout. */
  public static boolean holdsWithin(Duration timeout, BooleanSupplier condition) {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline >= 0) {
        return false;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
    return true;
  }
}
