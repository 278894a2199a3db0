package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.KeyLeaseTracker;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;

/**
 * Key leases as the leader knows them: grants the renewals of registered processes, has other
 * processes registered, and returns which instances have not confirmed an index.
 */
final class KeyLeaseRegistry {

  private static final long REGISTRATION_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final KeyLeaseTracker withdrawals;
  private final Consumer<InstanceRecord> registrar;
  private final Map<InstanceRecord, Long> registrationRetryNanos = new HashMap<>();

  KeyLeaseRegistry(
      long leadershipStartNanos, long keyLeaseNanos, Consumer<InstanceRecord> registrar) {
    this.withdrawals = new KeyLeaseTracker(leadershipStartNanos, keyLeaseNanos);
    this.registrar = registrar;
  }

  /** Records renewals and returns their grants. Call only while the authority lease is valid. */
  List<LeaseGrant> renew(Collection<LeaseRenewal> renewals, ControlView view, long nowNanos) {
    Map<String, InstanceRecord> registered = new HashMap<>();
    view.instances().forEach(each -> registered.put(each.getInstance(), each));
    List<LeaseGrant> grants = new ArrayList<>();
    for (LeaseRenewal renewal : renewals) {
      InstanceRecord record = registered.get(renewal.getInstance());
      if (record != null && record.getBoot() == renewal.getBoot()) {
        withdrawals.recordGrant(
            renewal.getInstance(), renewal.getBoot(), renewal.getAppliedIndex(), nowNanos);
        grants.add(grant(renewal));
      }
      if (renewal.hasRegistration() && !renewal.getRegistration().equals(record)) {
        register(renewal, nowNanos);
      }
    }
    withdrawals.removeUnregistered(view);
    return grants;
  }

  List<KeyLeaseTracker.Unconfirmed> unconfirmed(ControlView view, long index, long nowNanos) {
    return withdrawals.unconfirmed(view, index, nowNanos);
  }

  private void register(LeaseRenewal renewal, long nowNanos) {
    InstanceRecord record = renewal.getRegistration();
    boolean consistent =
        record.getInstance().equals(renewal.getInstance()) && record.getBoot() == renewal.getBoot();
    Long retryAt = registrationRetryNanos.get(record);
    if (consistent && (retryAt == null || nowNanos - retryAt >= 0)) {
      registrationRetryNanos.values().removeIf(time -> nowNanos - time >= 0);
      registrationRetryNanos.put(record, nowNanos + REGISTRATION_RETRY_NANOS);
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
