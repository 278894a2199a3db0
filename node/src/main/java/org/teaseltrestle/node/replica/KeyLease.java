package org.teaseltrestle.node.replica;

import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;

/** This process's key lease: runs from the send time of the newest granted renewal. */
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

  /** Makes a renewal, with the registration unless the view holds it already. */
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

  void granted(LeaseGrant grant) {
    boolean own =
        grant.getInstance().equals(settings.instance().value())
            && grant.getBoot() == settings.boot();
    long now = clock.nowNanos();
    long end = grant.getSentAtNanos() + settings.keyLeaseNanos();
    if (own && grant.getSentAtNanos() - now <= 0 && end - endsAtNanos > 0) {
      endsAtNanos = end;
    }
  }
}
