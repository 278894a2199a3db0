package org.teaseltrestle.node.replica;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;

/**
 * What a node knows of the committed log: everything that was committed up to a time. The time is
 * empty if the node has never heard from a leader, which is not the same as any age.
 *
 * @param index index up to which the committed entries are known
 * @param asOfNanos monotonic time of this process as of which they were all that was committed
 */
record KnownState(long index, OptionalLong asOfNanos) {

  static final KnownState UNKNOWN = new KnownState(0, OptionalLong.empty());

  // Older than every timeout, for receivers that do not read the flag for unknown.
  private static final long MAXIMUM_AGE_MILLIS = TimeUnit.DAYS.toMillis(365);

  static KnownState asOf(long index, long nanos) {
    return new KnownState(index, OptionalLong.of(nanos));
  }

  /** Returns what a parent told: its own knowledge, as old as it was there. */
  static KnownState received(CommittedCommands message, long nowNanos) {
    long ageMillis = message.getRootAgeMillis();
    if (message.getRootAgeUnknown() || ageMillis < 0 || ageMillis >= MAXIMUM_AGE_MILLIS) {
      return UNKNOWN;
    }
    return asOf(message.getAppliedIndex(), nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis));
  }

  /**
   * Returns what a parent proves to have known: its own knowledge, counted from the send of the
   * bundle that it had received by then, however long its message was on the way. Unknown if that
   * bundle is of an earlier process. Earlier versions name no bundle; their news counts from its
   * arrival.
   *
   * @param startNanos monotonic time at which this process started
   */
  static KnownState proven(CommittedCommands message, long startNanos, long nowNanos) {
    long sentAtNanos = message.getBundleSentAtNanos();
    if (sentAtNanos == 0) {
      return received(message, nowNanos);
    }
    boolean isOfThisProcess = sentAtNanos - startNanos >= 0 && sentAtNanos - nowNanos <= 0;
    return isOfThisProcess ? received(message, sentAtNanos) : UNKNOWN;
  }

  /** Writes the age of this knowledge into a message for a child. */
  void writeTo(CommittedCommands.Builder message, long nowNanos) {
    message.setRootAgeUnknown(!isKnown()).setRootAgeMillis(ageMillis(nowNanos));
  }

  boolean isKnown() {
    return asOfNanos.isPresent();
  }

  /** Returns whether this is older than a limit; what is unknown is older than every limit. */
  boolean isOlderThan(long limitNanos, long nowNanos) {
    return asOfNanos.isEmpty() || nowNanos - asOfNanos.getAsLong() > limitNanos;
  }

  /** Returns the newer one of two; what is unknown is never newer. */
  KnownState newerOf(KnownState other) {
    if (asOfNanos.isEmpty()) {
      return other;
    }
    boolean otherIsNewer =
        other.asOfNanos.isPresent() && other.asOfNanos.getAsLong() - asOfNanos.getAsLong() > 0;
    return otherIsNewer ? other : this;
  }

  /** Returns the age, rounded up so that no hop makes it younger; a year if unknown. */
  long ageMillis(long nowNanos) {
    if (asOfNanos.isEmpty()) {
      return MAXIMUM_AGE_MILLIS;
    }
    long ageNanos = Math.max(0, nowNanos - asOfNanos.getAsLong());
    long millis = TimeUnit.NANOSECONDS.toMillis(ageNanos);
    return TimeUnit.MILLISECONDS.toNanos(millis) < ageNanos ? millis + 1 : millis;
  }
}
