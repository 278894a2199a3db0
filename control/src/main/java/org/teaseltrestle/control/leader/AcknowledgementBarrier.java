package org.teaseltrestle.control.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.InstanceRecord;

/**
 * Decides when a committed change may be acknowledged: once a quorum of the voters and each
 * instance that the leader hears of have applied it. An instance that goes on running then obeys
 * the change, whatever happens to the leader. One that has been silent for the limit is passed
 * over, as it may be gone or cut off, and so is one that takes longer than the limit. Used by the
 * leader during one leadership; all times are of its monotonic clock.
 */
public final class AcknowledgementBarrier {

  private static final int MAXIMUM_OPEN_CHANGES = 64;
  private static final long FORGET_AFTER_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final long leadershipStartNanos;
  private final long limitNanos;
  private final Map<String, Progress> progress = new HashMap<>();

  /** Times after which no instance is waited for, by the index of the change. */
  private final Map<Long, Long> deadlines = new LinkedHashMap<>();

  private long passedIndex;

  private record Progress(long boot, long appliedIndex, long heardAtNanos) {}

  /**
   * Instance that is not known to have applied a change and is not waited for.
   *
   * @param instance the instance
   * @param silentMillis time since its latest report or, without one, since this leadership began
   * @param appliedIndex log index that it reported last, empty if it has not reported to this
   *     leader
   */
  public record PassedOver(String instance, long silentMillis, OptionalLong appliedIndex) {

    @Override
    public String toString() {
      String applied = appliedIndex.isPresent() ? "" + appliedIndex.getAsLong() : "unheard";
      return instance + "(silentMillis=" + silentMillis + ",applied=" + applied + ")";
    }
  }

  /**
   * What is known of a change.
   *
   * @param awaited instances that must apply it before it may be acknowledged, in order
   * @param passedOver instances that are not known to have applied it and are not waited for
   * @param newlyPassed whether the change may be acknowledged and could not before
   */
  public record Status(List<String> awaited, List<PassedOver> passedOver, boolean newlyPassed) {

    /** Copies the lists. */
    public Status {
      awaited = List.copyOf(awaited);
      passedOver = List.copyOf(passedOver);
    }
  }

  /**
   * Creates a barrier at the start of a leadership.
   *
   * @param limitNanos longest time for which an instance that is not heard of, or that does not
   *     apply a change, delays its acknowledgement
   */
  public AcknowledgementBarrier(long leadershipStartNanos, long limitNanos) {
    this.leadershipStartNanos = leadershipStartNanos;
    this.limitNanos = limitNanos;
  }

  /** Records the index that a process of an instance has applied. */
  public void heard(String instance, long boot, long appliedIndex, long nowNanos) {
    Progress earlier = progress.get(instance);
    long index =
        earlier != null && earlier.boot() == boot
            ? Math.max(earlier.appliedIndex(), appliedIndex)
            : appliedIndex;
    progress.put(instance, new Progress(boot, index, nowNanos));
  }

  /**
   * Records that a process asks for the committed index, by which it becomes ready: changes that
   * are committed later wait for it although it has not reported yet.
   */
  public void confirming(String instance, long boot, long nowNanos) {
    Progress earlier = progress.get(instance);
    if (earlier == null || earlier.boot() != boot) {
      progress.put(instance, new Progress(boot, 0, nowNanos));
    }
  }

  /**
   * Returns which instances a change waits for.
   *
   * @param index log index of the change
   * @param registered registered instances, which count although this leader never heard of them
   * @param voters instances that vote
   */
  public Status status(
      long index, Collection<InstanceRecord> registered, Set<String> voters, long nowNanos) {
    if (index <= passedIndex) {
      return new Status(List.of(), List.of(), false);
    }
    progress
        .values()
        .removeIf(each -> nowNanos - each.heardAtNanos() > limitNanos + FORGET_AFTER_NANOS);
    boolean mayWait = nowNanos - deadline(index, nowNanos) < 0;
    boolean quorumConfirmed =
        voters.stream().filter(each -> hasApplied(each, index)).count() > voters.size() / 2;
    List<String> awaited = new ArrayList<>();
    List<PassedOver> passedOver = new ArrayList<>();
    for (String instance : instances(registered, voters)) {
      if (!hasApplied(instance, index)) {
        boolean needed = !quorumConfirmed && voters.contains(instance);
        boolean waits = needed || (mayWait && !isSilent(instance, nowNanos));
        if (waits) {
          awaited.add(instance);
        } else {
          passedOver.add(passedOver(instance, nowNanos));
        }
      }
    }
    boolean passed = awaited.isEmpty();
    if (passed) {
      passedIndex = index;
      deadlines.keySet().removeIf(each -> each <= index);
    }
    return new Status(awaited, passedOver, passed);
  }

  private long deadline(long index, long nowNanos) {
    if (!deadlines.containsKey(index) && deadlines.size() >= MAXIMUM_OPEN_CHANGES) {
      deadlines.remove(deadlines.keySet().iterator().next());
    }
    return deadlines.computeIfAbsent(index, each -> nowNanos + limitNanos);
  }

  private boolean hasApplied(String instance, long index) {
    Progress latest = progress.get(instance);
    return latest != null && latest.appliedIndex() >= index;
  }

  private boolean isSilent(String instance, long nowNanos) {
    return silentNanos(instance, nowNanos) >= limitNanos;
  }

  private long silentNanos(String instance, long nowNanos) {
    Progress latest = progress.get(instance);
    return nowNanos - (latest == null ? leadershipStartNanos : latest.heardAtNanos());
  }

  private PassedOver passedOver(String instance, long nowNanos) {
    Progress latest = progress.get(instance);
    return new PassedOver(
        instance,
        TimeUnit.NANOSECONDS.toMillis(silentNanos(instance, nowNanos)),
        latest == null ? OptionalLong.empty() : OptionalLong.of(latest.appliedIndex()));
  }

  /** A voter that was replaced stays registered; it counts only if it is heard of. */
  private Set<String> instances(Collection<InstanceRecord> registered, Set<String> voters) {
    Set<String> instances = new TreeSet<>(progress.keySet());
    instances.addAll(voters);
    registered.stream()
        .filter(each -> !each.getVoter())
        .map(InstanceRecord::getInstance)
        .forEach(instances::add);
    return instances;
  }
}
