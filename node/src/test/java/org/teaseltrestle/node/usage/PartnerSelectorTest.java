package org.teaseltrestle.node.usage;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.wire.InstanceRecord;
import org.testng.annotations.Test;

/** Tests of the choice of the instance that holds copies of usage records. */
public final class PartnerSelectorTest {

  private static final FailureDomain DOMAIN = new FailureDomain("domain-a");

  private static InstanceRecord instance(String name, boolean votes) {
    return InstanceRecord.newBuilder()
        .setInstance(name)
        .setFailureDomain(DOMAIN.value())
        .setVoter(votes)
        .build();
  }

  /** Guards against usage records without a copy, because their partner does not hold copies. */
  @Test
  public void instanceThatHoldsNoCopiesIsNoPartner() {
    PartnerSelector partners =
        new PartnerSelector(new InstanceId("node-2"), DOMAIN, each -> !each.getVoter());
    List<InstanceRecord> instances =
        List.of(instance("node-1", false), instance("node-2", false), instance("node-3", true));
    assertEquals(partners.select(instances, 0), Optional.of(new InstanceId("node-1")));
    assertEquals(partners.select(instances.subList(1, 3), 0), Optional.empty());
  }

  /** Guards against copies that all go to one instance. */
  @Test
  public void instancesOfDomainFormRing() {
    PartnerSelector partners = new PartnerSelector(new InstanceId("node-2"), DOMAIN, each -> true);
    List<InstanceRecord> instances =
        List.of(instance("node-1", false), instance("node-2", false), instance("node-3", true));
    assertEquals(partners.select(instances, 0), Optional.of(new InstanceId("node-3")));
    partners.avoid(new InstanceId("node-3"), 10);
    assertEquals(partners.select(instances, 0), Optional.of(new InstanceId("node-1")));
  }
}
