package org.teaseltrestle.node.replica;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LeaderNews;

/**
 * Leader that a node has heard of.
 *
 * @param instance instance that leads
 * @param term its term; a leader of a later term is a later leader
 * @param asOfNanos monotonic time of this process as of which it was known to lead
 */
record KnownLeader(String instance, long term, long asOfNanos) {

  private static final long MAXIMUM_AGE_MILLIS = TimeUnit.DAYS.toMillis(365);

  /** Returns the leader that a parent told of, if any. */
  static Optional<KnownLeader> received(CommittedCommands message, long nowNanos) {
    LeaderNews news = message.getLeader();
    long ageMillis = news.getAgeMillis();
    if (news.getInstance().isEmpty() || ageMillis < 0 || ageMillis >= MAXIMUM_AGE_MILLIS) {
      return Optional.empty();
    }
    long asOfNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    return Optional.of(new KnownLeader(news.getInstance(), news.getTerm(), asOfNanos));
  }

  /** Returns this leader as news for a child. */
  LeaderNews toNews(long nowNanos) {
    long ageNanos = Math.max(0, nowNanos - asOfNanos);
    // Rounded up, so that no hop makes the news younger.
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(ageNanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
    return LeaderNews.newBuilder()
        .setInstance(instance)
        .setTerm(term)
        .setAgeMillis(ageMillis)
        .build();
  }

  boolean isOlderThan(long limitNanos, long nowNanos) {
    return nowNanos - asOfNanos > limitNanos;
  }

  /** Returns whether this is a later leader, or later news of the same one. */
  boolean isNewsAfter(KnownLeader other) {
    return term > other.term || (term == other.term && asOfNanos - other.asOfNanos > 0);
  }
}
