package org.teaseltrestle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Tells for a log index which instances may still act on an older state. Kept by the leader; all
 * times are of the leader's monotonic clock. A new leader knows no grants of its predecessor and
 * assumes that every registered instance holds a full key lease from the start of its leadership.
 */
public final class WithdrawalStatus {

  // Rates of two monotonic clocks differ by at most 2%.
  private static final double DRIFT = 0.02;

  private final long leadershipStartNanos;
  private final long longestLeaseNanos;
  private final Map<ProcessStart, Progress> progress = new HashMap<>();

  /**
   * Creates the status at the start of a leadership.
   *
   * @param leadershipStartNanos start of the leadership
   * @param keyLeaseNanos length of a key lease
   */
  public WithdrawalStatus(long leadershipStartNanos, long keyLeaseNanos) {
    this.leadershipStartNanos = leadershipStartNanos;
    this.longestLeaseNanos = (long) Math.ceil(keyLeaseNanos * (1 + DRIFT));
  }

  /**
   * An instance that has not confirmed an index.
   *
   * @param instance instance id
   * @param leaseEndsAtNanos time at which its key lease has surely ended
   */
  public record Unconfirmed(String instance, long leaseEndsAtNanos) {}

  /**
   * Notes that a lease renewal is granted. The instance measures the lease from the earlier time at
   * which it sent the renewal, so the lease ends no later than this clock says.
   */
  public void granted(String instance, long boot, long appliedIndex, long nowNanos) {
    progress.merge(
        new ProcessStart(instance, boot),
        new Progress(appliedIndex, nowNanos + longestLeaseNanos),
        Progress::latest);
  }

  /** Notes which index an instance has applied, without a grant. */
  public void confirmed(String instance, long boot, long appliedIndex) {
    progress.merge(
        new ProcessStart(instance, boot),
        new Progress(appliedIndex, leadershipStartNanos + longestLeaseNanos),
        Progress::latest);
  }

  /** Returns the registered instances that neither confirmed an index nor surely lost the lease. */
  public List<Unconfirmed> unconfirmed(ControlView view, long index, long nowNanos) {
    List<Unconfirmed> instances = new ArrayList<>();
    for (InstanceRecord each : view.instances()) {
      ProcessStart process = new ProcessStart(each.getInstance(), each.getBoot());
      Progress known =
          progress.getOrDefault(process, new Progress(0, leadershipStartNanos + longestLeaseNanos));
      if (known.appliedIndex < index && known.leaseEndsAtNanos - nowNanos > 0) {
        instances.add(new Unconfirmed(each.getInstance(), known.leaseEndsAtNanos));
      }
    }
    return instances;
  }

  /** Forgets processes that are not registered any more. */
  public void retainRegistered(ControlView view) {
    progress
        .keySet()
        .removeIf(
            process ->
                view.instances().stream()
                    .noneMatch(
                        each ->
                            each.getInstance().equals(process.instance())
                                && each.getBoot() == process.boot()));
  }

  private record Progress(long appliedIndex, long leaseEndsAtNanos) {

    Progress latest(Progress other) {
      return new Progress(
          Math.max(appliedIndex, other.appliedIndex),
          leaseEndsAtNanos - other.leaseEndsAtNanos >= 0
              ? leaseEndsAtNanos
              : other.leaseEndsAtNanos);
    }
  }
}
