package org.teaseltrestle.node.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;

/** Chooses the parent in the dissemination tree and leaves it when it is silent or cut off. */
final class ParentChooser {

  private static final EventLog LOG = EventLog.of(ParentChooser.class);
  private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private List<String> candidates = List.of();
  private String parent = "";
  private final TreeSettings tree;
  private long parentHeardNanos;
  private long rootHeardNanos;

  ParentChooser(TreeSettings tree, long nowNanos) {
    this.tree = tree;
    this.parentHeardNanos = nowNanos;
    this.rootHeardNanos = nowNanos;
  }

  String parent() {
    return parent;
  }

  /** Takes over the possible parents, the preferred one first. */
  void candidates(List<String> newCandidates) {
    candidates = List.copyOf(newCandidates);
  }

  long rootAgeMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - rootHeardNanos);
  }

  void heard(String sender, long rootAgeMillis, long nowNanos) {
    if (!sender.equals(parent)) {
      return;
    }
    parentHeardNanos = nowNanos;
    long rootHeard = nowNanos - TimeUnit.MILLISECONDS.toNanos(rootAgeMillis);
    if (rootHeard - rootHeardNanos > 0) {
      rootHeardNanos = rootHeard;
    }
  }

  /** Returns whether the parent has changed. */
  boolean update(long nowNanos) {
    boolean silent = nowNanos - parentHeardNanos > tree.parentSilenceNanos();
    // Two nodes that take each other for the parent answer each other, but hear no leader.
    boolean cutOff = nowNanos - rootHeardNanos > tree.rootSilenceNanos();
    if (!parent.isEmpty() && (silent || cutOff)) {
      avoidedUntilNanos.put(parent, nowNanos + AVOIDANCE_NANOS);
    }
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    if (avoidedUntilNanos.keySet().containsAll(candidates)) {
      avoidedUntilNanos.clear();
    }
    String chosen =
        candidates.stream()
            .filter(candidate -> !avoidedUntilNanos.containsKey(candidate))
            .findFirst()
            .orElse("");
    if (chosen.equals(parent) && !silent && !cutOff) {
      return false;
    }
    LOG.info(ReplicaEvent.PARENT_CHANGED, "from", parent, "to", chosen);
    parent = chosen;
    parentHeardNanos = nowNanos;
    rootHeardNanos = cutOff ? nowNanos : rootHeardNanos;
    return true;
  }
}
