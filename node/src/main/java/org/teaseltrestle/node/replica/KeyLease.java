package org.teaseltrestle.node.replica;

import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;

/** Key lease of this process; it starts at the send time of the latest renewal that was granted. */
final class KeyLease {

  private final ControlPlaneSettings settings;
  private final MonotonicClock clock;
  private final InstanceRecord registration;
  private volatile long endsAtNanos;

  KeyLease(ControlPlaneSettings settings, MonotonicClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.registration = settings.registration();
    this.endsAtNanos = clock.nowNanos();
  }

  long endsAtNanos() {
    return endsAtNanos;
  }

  /** Returns a new renewal, with the registration unless the view already contains it. */
  LeaseRenewal renewal(ControlView view) {
    LeaseRenewal.Builder renewal =
        LeaseRenewal.newBuilder()
            .setInstance(settings.instance().value())
            .setBoot(settings.boot())
            .setAppliedIndex(view.appliedIndex())
            .setSentAtNanos(clock.nowNanos());
    if (!view.instances().contains(registration)) {
      renewal.setRegistration(registration);
    }
    return renewal.build();
  }

  /** Returns whether a grant is for a renewal of this process start. */
  boolean isForThisProcess(LeaseGrant grant) {
    return grant.getInstance().equals(settings.instance().value())
        && grant.getBoot() == settings.boot();
  }

  /** Extends the lease if the grant is for a renewal of this process start. */
  void applyGrant(LeaseGrant grant) {
    long now = clock.nowNanos();
    long end = grant.getSentAtNanos() + settings.keyLeaseNanos();
    if (isForThisProcess(grant) && grant.getSentAtNanos() - now <= 0 && end - endsAtNanos > 0) {
      endsAtNanos = end;
    }
  }
}
