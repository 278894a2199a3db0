package org.teaseltrestle.node.replica;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;

/**
 * Logs when this node's knowledge of the committed log becomes old, and when it is recent again.
 * Between the two, requests may be decided by an earlier configuration.
 */
final class KnowledgeWatch {

  private static final EventLog LOG = EventLog.of(KnowledgeWatch.class);

  private final long limitNanos;

  /** Time as of which the log was known when the knowledge became old, empty while it is recent. */
  private OptionalLong oldAsOfNanos = OptionalLong.empty();

  /**
   * Creates a watch.
   *
   * @param limitNanos age above which knowledge is old
   */
  KnowledgeWatch(long limitNanos) {
    this.limitNanos = limitNanos;
  }

  /**
   * Compares the knowledge with the limit. A node that never heard from a leader is not ready, so
   * that it decides no requests.
   *
   * @param source parent or leader from which this node learns
   */
  void update(KnownState known, String source, long appliedIndex, long nowNanos) {
    boolean old = known.isKnown() && known.isOlderThan(limitNanos, nowNanos);
    if (old && oldAsOfNanos.isEmpty()) {
      oldAsOfNanos = known.asOfNanos();
      LOG.warn(
          ReplicaEvent.KNOWLEDGE_OLD,
          "source",
          source,
          "ageMillis",
          known.ageMillis(nowNanos),
          "appliedIndex",
          appliedIndex);
    } else if (!old && oldAsOfNanos.isPresent()) {
      LOG.info(
          ReplicaEvent.KNOWLEDGE_RECENT,
          "source",
          source,
          "ageMillis",
          known.ageMillis(nowNanos),
          "oldestMillis",
          TimeUnit.NANOSECONDS.toMillis(nowNanos - oldAsOfNanos.getAsLong()),
          "appliedIndex",
          appliedIndex);
      oldAsOfNanos = OptionalLong.empty();
    }
  }
}
