package org.teaseltrestle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Tracks which instances may still act on a state older than a log index. Used by the leader; all
 * times are of its monotonic clock. A new leader does not know the grants of its predecessor, so it
 * assumes that every registered instance holds a full key lease from the start of its leadership.
 */
public final class KeyLeaseTracker {

  // Rates of two monotonic clocks differ by at most 2%.
  private static final double MAXIMUM_CLOCK_DRIFT = 0.02;

  private final long leadershipStartNanos;
  private final long longestLeaseNanos;
  private final Map<ProcessStart, Progress> progress = new HashMap<>();

  /**
   * Creates the tracker at the start of a leadership.
   *
   * @param leadershipStartNanos time at which the leadership started
   * @param keyLeaseNanos duration of a key lease
   */
  public KeyLeaseTracker(long leadershipStartNanos, long keyLeaseNanos) {
    this.leadershipStartNanos = leadershipStartNanos;
    this.longestLeaseNanos = (long) Math.ceil(keyLeaseNanos * (1 + MAXIMUM_CLOCK_DRIFT));
  }

  /**
   * An instance that has not confirmed an index.
   *
   * @param instance instance id
   * @param leaseEndsAtNanos time at which its key lease is guaranteed to have ended
   */
  public record Unconfirmed(String instance, long leaseEndsAtNanos) {}

  /**
   * Records that a lease renewal is granted. The instance measures the lease from the earlier time
   * at which it sent the renewal, so the lease ends no later than recorded here.
   */
  public void recordGrant(String instance, long boot, long appliedIndex, long nowNanos) {
    progress.merge(
        new ProcessStart(instance, boot),
        new Progress(appliedIndex, nowNanos + longestLeaseNanos),
        Progress::latest);
  }

  /** Records the index that an instance has applied, without a grant. */
  public void confirmed(String instance, long boot, long appliedIndex) {
    progress.merge(
        new ProcessStart(instance, boot),
        new Progress(appliedIndex, leadershipStartNanos + longestLeaseNanos),
        Progress::latest);
  }

  /**
   * Returns the registered instances that have not confirmed an index and may still hold a lease.
   */
  public List<Unconfirmed> unconfirmed(ControlView view, long index, long nowNanos) {
    List<Unconfirmed> instances = new ArrayList<>();
    for (InstanceRecord registered : view.instances()) {
      ProcessStart process = new ProcessStart(registered.getInstance(), registered.getBoot());
      Progress last =
          progress.getOrDefault(process, new Progress(0, leadershipStartNanos + longestLeaseNanos));
      if (last.appliedIndex < index && last.leaseEndsAtNanos - nowNanos > 0) {
        instances.add(new Unconfirmed(registered.getInstance(), last.leaseEndsAtNanos));
      }
    }
    return instances;
  }

  /** Removes processes that are no longer registered. */
  public void removeUnregistered(ControlView view) {
    progress
        .keySet()
        .removeIf(
            process ->
                view.instances().stream()
                    .noneMatch(
                        registered ->
                            registered.getInstance().equals(process.instance())
                                && registered.getBoot() == process.boot()));
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
