package org.teaseltrestle.node.orders;

import java.util.Optional;
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
    return valid(nowNanos).isPresent();
  }

  /**
   * Returns the authority under which a call may be sent now. The call must carry its fencing
   * number: by the time of the send, the committed state may show that of a successor.
   */
  Optional<Authority> valid(long nowNanos) {
    return control.authority().filter(authority -> authority.isValid(nowNanos));
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
