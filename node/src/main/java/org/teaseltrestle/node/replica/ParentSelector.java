package org.teaseltrestle.node.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;

/**
 * Selects the parent in the dissemination tree; selects another one if the parent times out, has no
 * recent news of a leader or does not know any.
 */
final class ParentSelector {

  private static final EventLog LOG = EventLog.of(ParentSelector.class);
  private static final long FAILED_PARENT_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Time in which a new parent, or one that was restarted, may show recent news. Limits the rate of
   * changes while no parent has any.
   */
  private static final long MINIMUM_STAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private List<String> candidates = List.of();
  private String parent = "";
  private final DisseminationTreeSettings tree;
  private long parentContactNanos;
  private KnownState parentNews = KnownState.UNKNOWN;
  private boolean hasToldNews;
  private long earliestChangeNanos;
  private long newsDueNanos;

  ParentSelector(DisseminationTreeSettings tree, long nowNanos) {
    this.tree = tree;
    this.parentContactNanos = nowNanos;
    this.earliestChangeNanos = nowNanos;
    this.newsDueNanos = nowNanos;
  }

  String parent() {
    return parent;
  }

  /** Sets the possible parents, the preferred one first. */
  void setCandidates(List<String> newCandidates) {
    candidates = List.copyOf(newCandidates);
  }

  /** Records a message without news of a leader; ignored unless the current parent sent it. */
  void messageReceived(String sender, long nowNanos) {
    if (sender.equals(parent)) {
      parentContactNanos = nowNanos;
    }
  }

  /** Records what a parent knows; ignored unless the current parent sent it. */
  void newsReceived(String sender, KnownState news, long nowNanos) {
    if (sender.equals(parent)) {
      parentContactNanos = nowNanos;
      if (news.isKnown() || !hasToldNews) {
        newsDueNanos = earliestChangeNanos;
      } else if (parentNews.isKnown()) {
        newsDueNanos = nowNanos + MINIMUM_STAY_NANOS;
      }
      hasToldNews = true;
      parentNews = news;
    }
  }

  /** Returns the monotonic time after which the parent has timed out unless it sends a message. */
  long timeoutNanos() {
    long silentAt = parentContactNanos + tree.parentTimeoutNanos();
    long staleAt = parentNews.asOfNanos().orElse(newsDueNanos) + tree.rootTimeoutNanos();
    long withoutNewsAt =
        !parentNews.isKnown() || staleAt - newsDueNanos < 0 ? newsDueNanos : staleAt;
    return silentAt - withoutNewsAt < 0 ? silentAt : withoutNewsAt;
  }

  /** Selects the parent; returns whether it has changed or the previous one timed out. */
  boolean update(long appliedIndex, long nowNanos) {
    boolean silent = nowNanos - parentContactNanos > tree.parentTimeoutNanos();
    // Two nodes that are each other's parent receive messages, but no news of a leader.
    boolean withoutNews =
        nowNanos - newsDueNanos > 0 && parentNews.isOlderThan(tree.rootTimeoutNanos(), nowNanos);
    if (!parent.isEmpty() && (silent || withoutNews)) {
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
    if (selected.equals(parent) && !silent && !withoutNews) {
      return false;
    }
    logChange(selected, reason(silent, withoutNews), appliedIndex, nowNanos);
    parent = selected;
    parentContactNanos = nowNanos;
    parentNews = KnownState.UNKNOWN;
    hasToldNews = false;
    earliestChangeNanos = nowNanos + MINIMUM_STAY_NANOS;
    newsDueNanos = nowNanos + tree.rootTimeoutNanos();
    return true;
  }

  private void logChange(String selected, String reason, long appliedIndex, long nowNanos) {
    LOG.info(
        ReplicaEvent.PARENT_CHANGED,
        "from",
        parent,
        "to",
        selected,
        "reason",
        reason,
        "parentAgeMillis",
        TimeUnit.NANOSECONDS.toMillis(nowNanos - parentContactNanos),
        "rootAgeMillis",
        parentNews.isKnown() ? parentNews.ageMillis(nowNanos) : "unknown",
        "appliedIndex",
        appliedIndex);
  }

  private static String reason(boolean silent, boolean withoutNews) {
    if (silent) {
      return "parent-silent";
    }
    return withoutNews ? "no-news-of-leader" : "preferred";
  }
}
