package org.teaseltrestle.node.relay;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Registered instances that relay requests, as far as the decisions know them. Confined to the
 * admission thread.
 */
public final class RelayInstances {

  private final InstanceId self;
  private final Predicate<InstanceRecord> isRelay;
  private Collection<InstanceRecord> applied = List.of();
  private List<String> relays = List.of();

  /**
   * Creates the instances before the first registration.
   *
   * @param self this instance
   * @param isRelay whether a registered instance relays requests
   */
  public RelayInstances(InstanceId self, Predicate<InstanceRecord> isRelay) {
    this.self = self;
    this.isRelay = isRelay;
  }

  /** Returns the event that tells the decisions of a change since the last call. */
  Optional<AdmissionEvent.RelaysChanged> change(ControlView view) {
    Collection<InstanceRecord> latest = view.instances();
    if (latest == applied) {
      return Optional.empty();
    }
    applied = latest;
    List<String> changed =
        latest.stream().filter(isRelay).map(InstanceRecord::getInstance).sorted().toList();
    if (changed.equals(relays)) {
      return Optional.empty();
    }
    relays = changed;
    return Optional.of(new AdmissionEvent.RelaysChanged(changed, self.value()));
  }
}
