package org.teaseltrestle.consensus;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;

/** Immutable settings of a core, built by {@link Builder}. */
public final class RaftSettings {

  private static final double MAXIMUM_CLOCK_DRIFT = 0.02;

  // A follower with a fast clock may vote for another after 98% of the shortest election timeout,
  // and the leader's clock may be slow by 2%, so the lease has to leave room for both.
  private static final double MAXIMUM_LEASE_FRACTION = 0.9;

  private final Builder values;

  private RaftSettings(Builder values) {
    this.values = values;
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the instances whose replicas are the initial voters. */
  public Set<InstanceId> initialVoters() {
    return values.initialVoters;
  }

  /** Returns which replicas may join the group. */
  public Membership membership() {
    return values.membership;
  }

  /** Returns the maximum number of voters of an open group; further members stay learners. */
  public int maximumVoters() {
    return values.maximumVoters;
  }

  /** Returns the silence timeout after which an open group removes a voter, in nanoseconds. */
  public long silentVoterNanos() {
    return values.silentVoterNanos;
  }

  /** Returns the time between two heartbeats, in nanoseconds. */
  public long heartbeatNanos() {
    return values.heartbeatNanos;
  }

  /** Returns the shortest election timeout, in nanoseconds. */
  public long electionMinimumNanos() {
    return values.electionMinimumNanos;
  }

  /** Returns the longest election timeout, in nanoseconds. */
  public long electionMaximumNanos() {
    return values.electionMaximumNanos;
  }

  /** Returns the length of an authority lease after deduction of clock drift, in nanoseconds. */
  public long leaseNanos() {
    return (long) (values.leaseNanos * (1 - MAXIMUM_CLOCK_DRIFT));
  }

  /** Returns the maximum number of proposals that are appended and not yet committed. */
  public int maximumInFlight() {
    return values.maximumInFlight;
  }

  /** Returns the maximum payload bytes in one append request, not counting its first entry. */
  public int maximumAppendBytes() {
    return values.maximumAppendBytes;
  }

  /** Returns the maximum size of a snapshot chunk in bytes. */
  public int snapshotChunkBytes() {
    return values.snapshotChunkBytes;
  }

  /** Returns the largest snapshot accepted from a leader, in bytes. */
  public int maximumSnapshotBytes() {
    return values.maximumSnapshotBytes;
  }

  /** Returns how many entries before a snapshot are retained in the log for slow followers. */
  public long retainedEntries() {
    return values.retainedEntries;
  }

  /** Returns the maximum payload bytes of the entries that are retained before a snapshot. */
  public long retainedBytes() {
    return values.retainedBytes;
  }

  /**
   * Returns the maximum payload bytes of proposals that are appended and not yet committed, not
   * counting the first one.
   */
  public long maximumInFlightBytes() {
    return values.maximumInFlightBytes;
  }

  /** Rule for which replicas may join the group. */
  public enum Membership {
    /** Only replicas of the initial voters' instances; a voter is replaced by its own instance. */
    INITIAL_VOTERS,
    /** Any replica that asks; a silent voter is removed if enough other voters remain. */
    OPEN
  }

  /** Builder of settings; unset values keep their defaults. */
  public static final class Builder implements Cloneable {
    private Set<InstanceId> initialVoters = Set.of();
    private Membership membership = Membership.INITIAL_VOTERS;
    private int maximumVoters = 7; // docs/design.md, section 6
    // Longer than two elections, so that a restarted voter is not removed.
    private long silentVoterNanos = TimeUnit.MILLISECONDS.toNanos(3_000);
    private long heartbeatNanos = TimeUnit.MILLISECONDS.toNanos(100);
    private long electionMinimumNanos = TimeUnit.MILLISECONDS.toNanos(1_000);
    private long electionMaximumNanos = TimeUnit.MILLISECONDS.toNanos(2_000);
    private long leaseNanos = TimeUnit.MILLISECONDS.toNanos(900);
    private int maximumInFlight = 1_024;
    private int maximumAppendBytes = 256 * 1024;
    private int snapshotChunkBytes = 256 * 1024;
    private int maximumSnapshotBytes = 256 * 1024 * 1024;
    private long maximumInFlightBytes = 16L * 1024 * 1024;
    private long retainedEntries = 256;
    private long retainedBytes = 8L * 1024 * 1024;

    private Builder() {}

    /** Sets the instances whose replicas are the initial voters. */
    public Builder initialVoters(Set<InstanceId> instances) {
      initialVoters = Collections.unmodifiableSet(new TreeSet<>(instances));
      return this;
    }

    /** Sets which replicas may join the group. */
    public Builder membership(Membership newMembership) {
      membership = newMembership;
      return this;
    }

    /** Sets the silence timeout after which an open group removes a voter, in nanoseconds. */
    public Builder silentVoterNanos(long nanos) {
      silentVoterNanos = nanos;
      return this;
    }

    /** Sets the time between two heartbeats, in nanoseconds. */
    public Builder heartbeatNanos(long nanos) {
      heartbeatNanos = nanos;
      return this;
    }

    /** Sets the range of the election timeout, in nanoseconds. */
    public Builder electionNanos(long minimum, long maximum) {
      electionMinimumNanos = minimum;
      electionMaximumNanos = maximum;
      return this;
    }

    /** Sets the length of an authority lease before deduction of clock drift, in nanoseconds. */
    public Builder leaseNanos(long nanos) {
      leaseNanos = nanos;
      return this;
    }

    /** Sets the maximum number of proposals that are appended and not yet committed. */
    public Builder maximumInFlight(int count) {
      maximumInFlight = count;
      return this;
    }

    /** Sets the maximum payload bytes of proposals that are appended and not yet committed. */
    public Builder maximumInFlightBytes(long bytes) {
      maximumInFlightBytes = bytes;
      return this;
    }

    /** Sets the maximum size of a snapshot chunk in bytes. */
    public Builder snapshotChunkBytes(int bytes) {
      snapshotChunkBytes = bytes;
      return this;
    }

    /** Sets how many entries before a snapshot are retained in the log. */
    public Builder retainedEntries(long count) {
      retainedEntries = count;
      return this;
    }

    /** Sets the maximum payload bytes of the entries that are retained before a snapshot. */
    public Builder retainedBytes(long bytes) {
      retainedBytes = bytes;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if the timings are
     *     inconsistent
     */
    public RaftSettings build() {
      if (heartbeatNanos <= 0
          || electionMinimumNanos <= 2 * heartbeatNanos
          || electionMaximumNanos <= electionMinimumNanos) {
        throw new TrestleException(
            ErrorCode.INVALID_SETTINGS,
            "the election timeout must be longer than two heartbeat intervals and have a range");
      }
      if (leaseNanos > electionMinimumNanos * MAXIMUM_LEASE_FRACTION) {
        throw new TrestleException(
            ErrorCode.INVALID_SETTINGS,
            "the authority lease must be at most nine tenths of the shortest election timeout");
      }
      try {
        return new RaftSettings((Builder) clone());
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }
  }
}
