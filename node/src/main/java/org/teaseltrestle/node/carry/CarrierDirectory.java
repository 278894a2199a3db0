package org.teaseltrestle.node.carry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.policy.CarrierChooser;
import org.teaseltrestle.wire.InstanceRecord;

/** Registered instances that may carry attempts of this one, with their addresses. */
public final class CarrierDirectory {

  private final InstanceId self;
  private final ControlGateway control;
  private final Predicate<InstanceRecord> isRelay;
  private final Function<InstanceId, Optional<InetSocketAddress>> addresses;
  private final CarrierChooser chooser;
  private Collection<InstanceRecord> applied = List.of();

  /**
   * Creates a directory.
   *
   * @param isRelay whether a registered instance relays requests
   * @param addresses returns the peer address of an instance
   */
  public CarrierDirectory(
      InstanceId self,
      FailureDomain ownDomain,
      ControlGateway control,
      Predicate<InstanceRecord> isRelay,
      Function<InstanceId, Optional<InetSocketAddress>> addresses) {
    this.self = self;
    this.control = control;
    this.isRelay = isRelay;
    this.addresses = addresses;
    this.chooser = new CarrierChooser(ownDomain);
  }

  /** Returns the chooser with the instances that are registered now. */
  synchronized CarrierChooser refreshed() {
    Collection<InstanceRecord> latest = control.view().instances();
    if (latest != applied) {
      applied = latest;
      chooser.setCarriers(
          latest.stream()
              .filter(isRelay)
              .filter(each -> !each.getInstance().equals(self.value()))
              .map(
                  each ->
                      new CarrierChooser.Carrier(
                          each.getInstance(), new FailureDomain(each.getFailureDomain())))
              .toList());
    }
    return chooser;
  }

  CarrierChooser chooser() {
    return chooser;
  }

  Optional<InetSocketAddress> address(String instance) {
    return addresses.apply(new InstanceId(instance));
  }
}
