package org.teaseltrestle.node.orders;

import org.teaseltrestle.control.leader.ExternalActionAuthority;
import org.teaseltrestle.node.replica.Authority;
import org.teaseltrestle.node.replica.ControlPlane;

/** Authority of this process, read from its control plane at each call. */
final class ControlPlaneAuthority implements ExternalActionAuthority {

  private final ControlPlane control;

  ControlPlaneAuthority(ControlPlane control) {
    this.control = control;
  }

  @Override
  public boolean mayAct(long nowNanos) {
    return control.authority().filter(authority -> authority.isValid(nowNanos)).isPresent();
  }

  /** Returns whether this process holds an authority lease; it may not be allowed to act yet. */
  boolean holdsLease(long nowNanos) {
    return control
        .authority()
        .filter(authority -> nowNanos - authority.endsAtNanos() < 0)
        .isPresent();
  }

  @Override
  public long term() {
    return control.authority().map(Authority::term).orElse(0L);
  }
}
