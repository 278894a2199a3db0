package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.WithdrawalStatus;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;

/**
 * The leader's record of key leases: grants renewals of registered processes, asks for the
 * registration of others, and tells which instances have not confirmed an index.
 */
final class RenewalBook {

  private static final long REGISTRATION_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final WithdrawalStatus status;
  private final Consumer<InstanceRecord> registrar;
  private final Map<InstanceRecord, Long> registrationRetryAtNanos = new HashMap<>();

  RenewalBook(long leadershipStartNanos, long keyLeaseNanos, Consumer<InstanceRecord> registrar) {
    this.status = new WithdrawalStatus(leadershipStartNanos, keyLeaseNanos);
    this.registrar = registrar;
  }

  /** Takes renewals and returns the grants. Call only under a valid authority lease. */
  List<LeaseGrant> renew(Collection<LeaseRenewal> renewals, ControlView view, long nowNanos) {
    Map<String, InstanceRecord> registered = new HashMap<>();
    view.instances().forEach(each -> registered.put(each.getInstance(), each));
    List<LeaseGrant> grants = new ArrayList<>();
    for (LeaseRenewal renewal : renewals) {
      InstanceRecord record = registered.get(renewal.getInstance());
      if (record != null && record.getBoot() == renewal.getBoot()) {
        status.granted(
            renewal.getInstance(), renewal.getBoot(), renewal.getAppliedIndex(), nowNanos);
        grants.add(grant(renewal));
      }
      if (renewal.hasRegistration() && !renewal.getRegistration().equals(record)) {
        register(renewal, nowNanos);
      }
    }
    status.retainRegistered(view);
    return grants;
  }

  List<WithdrawalStatus.Unconfirmed> unconfirmed(ControlView view, long index, long nowNanos) {
    return status.unconfirmed(view, index, nowNanos);
  }

  private void register(LeaseRenewal renewal, long nowNanos) {
    InstanceRecord record = renewal.getRegistration();
    boolean consistent =
        record.getInstance().equals(renewal.getInstance()) && record.getBoot() == renewal.getBoot();
    Long retryAt = registrationRetryAtNanos.get(record);
    if (consistent && (retryAt == null || nowNanos - retryAt >= 0)) {
      registrationRetryAtNanos.values().removeIf(time -> nowNanos - time >= 0);
      registrationRetryAtNanos.put(record, nowNanos + REGISTRATION_RETRY_NANOS);
      registrar.accept(record);
    }
  }

  private static LeaseGrant grant(LeaseRenewal renewal) {
    return LeaseGrant.newBuilder()
        .setInstance(renewal.getInstance())
        .setBoot(renewal.getBoot())
        .setSentAtNanos(renewal.getSentAtNanos())
        .build();
  }
}
