package org.teaseltrestle.node.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which renewals of this process the leader has answered, and through which nodes. An answered
 * renewal proves a path to the leader and back; recent news proves only one of the directions.
 */
final class AnsweredRenewals {

  private final long timeoutNanos;

  /** Monotonic send times of the latest answered renewals, by the node that passed them on. */
  private final Map<String, Long> sentAtNanos = new HashMap<>();

  private String parent = "";

  /** Send time of the latest renewal that was answered through the parent or one before it. */
  private long answeredByParentNanos;

  /**
   * Creates the record of a process whose renewals were never answered.
   *
   * @param timeoutNanos age of the latest answered renewal above which the path counts as lost
   */
  AnsweredRenewals(long timeoutNanos, long nowNanos) {
    this.timeoutNanos = timeoutNanos;
    this.answeredByParentNanos = nowNanos;
  }

  /**
   * Records a change of the parent. Unless the leader has answered through it, the time since the
   * answers through the parent before goes on.
   */
  void parentSelected(String newParent, long nowNanos) {
    if (parent.isEmpty()) {
      // The first renewal has as much time as any other.
      answeredByParentNanos = nowNanos;
    }
    parent = newParent;
    answeredByParentNanos = sentAtNanos.getOrDefault(parent, answeredByParentNanos);
  }

  /** Forgets all nodes but those that may become the parent. */
  void retain(Predicate<String> mayBeParent) {
    sentAtNanos.keySet().removeIf(each -> !mayBeParent.test(each));
  }

  /**
   * Records an answer of the leader.
   *
   * @param sender node that passed the answer on
   * @param renewalSentAtNanos monotonic time at which this process sent the renewal
   */
  void answered(String sender, long renewalSentAtNanos) {
    long latest = sentAtNanos.merge(sender, renewalSentAtNanos, AnsweredRenewals::later);
    if (sender.equals(parent)) {
      answeredByParentNanos = later(answeredByParentNanos, latest);
    }
  }

  /** Returns whether the leader has recently answered a renewal through a node. */
  boolean isAnsweredThrough(String instance, long nowNanos) {
    Long sentAt = sentAtNanos.get(instance);
    return sentAt != null && nowNanos - sentAt <= timeoutNanos;
  }

  /** Returns the monotonic time after which the path through the parent counts as lost. */
  long lostAtNanos() {
    return answeredByParentNanos + timeoutNanos;
  }

  /** Returns the time since the latest answered renewal through the parent was sent. */
  long ageNanos(long nowNanos) {
    return nowNanos - answeredByParentNanos;
  }

  private static long later(long nanos, long otherNanos) {
    return nanos - otherNanos > 0 ? nanos : otherNanos;
  }
}
