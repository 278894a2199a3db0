package org.teaseltrestle.node.usage;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Chooses the instance that holds the copies of this instance's usage records: the next one by name
 * in the same failure domain, then those of other failure domains. An instance that failed is
 * passed over for a while.
 */
final class PartnerResolver {

  private final InstanceId self;
  private final FailureDomain failureDomain;
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

  PartnerResolver(InstanceId self, FailureDomain failureDomain) {
    this.self = self;
    this.failureDomain = failureDomain;
  }

  void avoid(InstanceId partner, long untilNanos) {
    avoidedUntilNanos.put(partner.value(), untilNanos);
  }

  Optional<InstanceId> choose(Collection<InstanceRecord> instances, long nowNanos) {
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    List<InstanceRecord> candidates =
        instances.stream()
            .filter(each -> !each.getInstance().equals(self.value()))
            .filter(each -> !avoidedUntilNanos.containsKey(each.getInstance()))
            .sorted(
                Comparator.comparing(this::isElsewhere)
                    .thenComparing(this::isBeforeSelf)
                    .thenComparing(InstanceRecord::getInstance))
            .toList();
    return candidates.stream().findFirst().map(each -> new InstanceId(each.getInstance()));
  }

  private boolean isElsewhere(InstanceRecord candidate) {
    return !candidate.getFailureDomain().equals(failureDomain.value());
  }

  // Sorting those after this instance first spreads the copies in a ring.
  private boolean isBeforeSelf(InstanceRecord candidate) {
    return candidate.getInstance().compareTo(self.value()) < 0;
  }
}
