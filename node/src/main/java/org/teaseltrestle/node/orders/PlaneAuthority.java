package org.teaseltrestle.node.orders;

import org.teaseltrestle.control.leader.OutwardAuthority;
import org.teaseltrestle.node.replica.Authority;
import org.teaseltrestle.node.replica.ControlPlane;

/** Reads the authority of this process from its control plane at each question. */
final class PlaneAuthority implements OutwardAuthority {

  private final ControlPlane control;

  PlaneAuthority(ControlPlane control) {
    this.control = control;
  }

  @Override
  public boolean mayAct(long nowNanos) {
    return control.authority().filter(authority -> authority.isValid(nowNanos)).isPresent();
  }

  /** Returns whether this process leads under a lease; it may have to wait before it acts. */
  boolean leads(long nowNanos) {
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
