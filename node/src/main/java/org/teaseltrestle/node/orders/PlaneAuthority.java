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

  @Override
  public long term() {
    return control.authority().map(Authority::term).orElse(0L);
  }
}
