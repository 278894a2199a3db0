package org.teaseltrestle.node.replica;

import java.util.List;
import org.teaseltrestle.model.InstanceId;

/**
 * Which registered instances may still act on a state before an index.
 *
 * @param index log index of the withdrawal
 * @param unconfirmed instances that have neither applied the index nor surely lost their key lease
 */
public record WithdrawalReport(long index, List<UnconfirmedLease> unconfirmed) {

  /** Copies the list. */
  public WithdrawalReport {
    unconfirmed = List.copyOf(unconfirmed);
  }

  /** Returns whether the withdrawal is in force everywhere. */
  public boolean isFinal() {
    return unconfirmed.isEmpty();
  }

  /**
   * An instance that has not confirmed the index.
   *
   * @param leaseEndsAtNanos monotonic time of this process at which its lease has surely ended
   */
  public record UnconfirmedLease(InstanceId instance, long leaseEndsAtNanos) {}
}
