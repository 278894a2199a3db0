package org.teaseltrestle.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ConfirmationTracker;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.operators.UnconfirmedInstance;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.replica.WithdrawalReport;

/**
 * Asks the leader which instances have not confirmed a log index, and converts the ends of their
 * leases from the monotonic clock to wall time.
 */
final class LeaderConfirmations implements ConfirmationTracker {

  private final ControlPlane control;
  private final MonotonicClock clock;
  private final WallClock wallClock;

  LeaderConfirmations(ControlPlane control, MonotonicClock clock, WallClock wallClock) {
    this.control = control;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  @Override
  public CompletableFuture<List<UnconfirmedInstance>> unconfirmed(long appliedIndex) {
    return control
        .withdrawalReport(appliedIndex)
        .thenApply(report -> report.unconfirmed().stream().map(this::withWallTime).toList());
  }

  private UnconfirmedInstance withWallTime(WithdrawalReport.UnconfirmedLease lease) {
    long remainingNanos = lease.leaseEndsAtNanos() - clock.nowNanos();
    return new UnconfirmedInstance(
        lease.instance().value(),
        wallClock.nowMillis() + TimeUnit.NANOSECONDS.toMillis(remainingNanos));
  }
}
