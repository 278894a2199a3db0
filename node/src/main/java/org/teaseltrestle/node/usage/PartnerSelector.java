package org.teaseltrestle.node.usage;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Selects the partner, the instance that holds the copies of this instance's usage records: the
 * next one by name in the same failure domain, or else in other failure domains. An instance that
 * failed is skipped for some time.
 */
final class PartnerSelector {

  private final InstanceId self;
  private final FailureDomain failureDomain;
  private final Predicate<InstanceRecord> holdsCopies;
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

  /**
   * Creates a selector.
   *
   * @param holdsCopies whether an instance holds copies of usage records of others
   */
  PartnerSelector(
      InstanceId self, FailureDomain failureDomain, Predicate<InstanceRecord> holdsCopies) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.holdsCopies = holdsCopies;
  }

  /** Skips an instance until a monotonic time. */
  void avoid(InstanceId partner, long untilNanos) {
    avoidedUntilNanos.put(partner.value(), untilNanos);
  }

  /** Returns the partner, empty if no instance is available. */
  Optional<InstanceId> select(Collection<InstanceRecord> instances, long nowNanos) {
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    List<InstanceRecord> candidates =
        instances.stream()
            .filter(holdsCopies)
            .filter(each -> !each.getInstance().equals(self.value()))
            .filter(each -> !avoidedUntilNanos.containsKey(each.getInstance()))
            .sorted(
                Comparator.comparing(this::isInOtherDomain)
                    .thenComparing(this::isBeforeSelf)
                    .thenComparing(InstanceRecord::getInstance))
            .toList();
    return candidates.stream().findFirst().map(each -> new InstanceId(each.getInstance()));
  }

  private boolean isInOtherDomain(InstanceRecord candidate) {
    return !candidate.getFailureDomain().equals(failureDomain.value());
  }

  // Instances after this one come first, which distributes the copies in a ring.
  private boolean isBeforeSelf(InstanceRecord candidate) {
    return candidate.getInstance().compareTo(self.value()) < 0;
  }
}
