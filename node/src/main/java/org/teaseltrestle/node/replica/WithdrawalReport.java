package org.teaseltrestle.node.replica;

import java.util.List;
import org.teaseltrestle.model.InstanceId;

/**
 * Registered instances that may still act on a control state older than a withdrawal.
 *
 * @param index log index of the withdrawal
 * @param unconfirmed instances that have not applied the index and whose key lease is not
 *     guaranteed to have ended
 */
public record WithdrawalReport(long index, List<UnconfirmedLease> unconfirmed) {

  /** Copies the list. */
  public WithdrawalReport {
    unconfirmed = List.copyOf(unconfirmed);
  }

  /** Returns whether the withdrawal is in effect on all registered instances. */
  public boolean isInEffectEverywhere() {
    return unconfirmed.isEmpty();
  }

  /**
   * An instance that has not confirmed the index.
   *
   * @param leaseEndsAtNanos monotonic time of this process by which the lease is guaranteed to have
   *     ended
   */
  public record UnconfirmedLease(InstanceId instance, long leaseEndsAtNanos) {}
}
