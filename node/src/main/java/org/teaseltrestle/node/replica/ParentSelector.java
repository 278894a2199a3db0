package org.teaseltrestle.node.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;

/**
 * Selects the parent in the dissemination tree; selects another one if the parent times out or has
 * no recent news of a leader.
 */
final class ParentSelector {

  private static final EventLog LOG = EventLog.of(ParentSelector.class);
  private static final long FAILED_PARENT_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private List<String> candidates = List.of();
  private String parent = "";
  private final DisseminationTreeSettings tree;
  private long parentContactNanos;
  private long rootContactNanos;

  ParentSelector(DisseminationTreeSettings tree, long nowNanos) {
    this.tree = tree;
    this.parentContactNanos = nowNanos;
    this.rootContactNanos = nowNanos;
  }

  String parent() {
    return parent;
  }

  /** Sets the possible parents, the preferred one first. */
  void setCandidates(List<String> newCandidates) {
    candidates = List.copyOf(newCandidates);
  }

  /** Returns the age of the latest news of a leader, in milliseconds. */
  long rootAgeMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - rootContactNanos);
  }

  /** Records a message; ignored unless the current parent sent it. */
  void messageReceived(String sender, long rootAgeMillis, long nowNanos) {
    if (!sender.equals(parent)) {
      return;
    }
    parentContactNanos = nowNanos;
    long rootContact = nowNanos - TimeUnit.MILLISECONDS.toNanos(rootAgeMillis);
    if (rootContact - rootContactNanos > 0) {
      rootContactNanos = rootContact;
    }
  }

  /** Returns the monotonic time after which the parent has timed out unless it sends a message. */
  long timeoutNanos() {
    long parentTimeout = parentContactNanos + tree.parentTimeoutNanos();
    long rootTimeout = rootContactNanos + tree.rootTimeoutNanos();
    return parentTimeout - rootTimeout < 0 ? parentTimeout : rootTimeout;
  }

  /** Selects the parent; returns whether it has changed or the previous one timed out. */
  boolean update(long appliedIndex, long nowNanos) {
    boolean parentTimedOut = nowNanos - parentContactNanos > tree.parentTimeoutNanos();
    // Two nodes that are each other's parent receive messages, but no news of a leader.
    boolean rootTimedOut = nowNanos - rootContactNanos > tree.rootTimeoutNanos();
    if (!parent.isEmpty() && (parentTimedOut || rootTimedOut)) {
      avoidedUntilNanos.put(parent, nowNanos + FAILED_PARENT_AVOIDANCE_NANOS);
    }
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    if (avoidedUntilNanos.keySet().containsAll(candidates)) {
      avoidedUntilNanos.clear();
    }
    String selected =
        candidates.stream()
            .filter(candidate -> !avoidedUntilNanos.containsKey(candidate))
            .findFirst()
            .orElse("");
    if (selected.equals(parent) && !parentTimedOut && !rootTimedOut) {
      return false;
    }
    LOG.info(
        ReplicaEvent.PARENT_CHANGED,
        "from",
        parent,
        "to",
        selected,
        "reason",
        reason(parentTimedOut, rootTimedOut),
        "parentAgeMillis",
        TimeUnit.NANOSECONDS.toMillis(nowNanos - parentContactNanos),
        "rootAgeMillis",
        rootAgeMillis(nowNanos),
        "appliedIndex",
        appliedIndex);
    parent = selected;
    parentContactNanos = nowNanos;
    rootContactNanos = rootTimedOut ? nowNanos : rootContactNanos;
    return true;
  }

  private static String reason(boolean parentTimedOut, boolean rootTimedOut) {
    if (parentTimedOut) {
      return "parent-silent";
    }
    return rootTimedOut ? "no-news-of-leader" : "preferred";
  }
}
