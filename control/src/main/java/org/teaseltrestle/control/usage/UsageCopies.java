package org.teaseltrestle.control.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageCopy;

/**
 * Usage records that this instance holds as the partner of other process starts. It proposes the
 * records that their origin has not committed in time. The sequence numbers make that safe even if
 * the origin still runs.
 */
public final class UsageCopies {

  // An origin commits every two seconds; after two missed commits it is considered failed.
  private static final long TAKEOVER_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<Origin, HeldRecords> recordsByOrigin = new HashMap<>();

  /**
   * Adds a copy of records of an origin. A part that does not follow what is held is ignored.
   *
   * @return sequence number up to which the records of the origin are held or committed
   */
  public long add(UsageCopy copy, long nowNanos) {
    Origin origin = new Origin(copy.getInstance(), copy.getBoot());
    HeldRecords records =
        recordsByOrigin.computeIfAbsent(
            origin, o -> new HeldRecords(new UsageJournal(o.instance(), o.boot()), nowNanos));
    // A copy starts at the first uncommitted record of the origin: all earlier ones are committed.
    if (copy.getFirstSequence() > records.journal.firstUncommitted()) {
      markCommittedThrough(
          copy.getInstance(), copy.getBoot(), copy.getFirstSequence() - 1, nowNanos);
    }
    if (records.journal.isEmpty()) {
      records.takeoverDueAtNanos = nowNanos + TAKEOVER_NANOS;
    }
    long heldThrough = records.journal.appendCopy(copy.getFirstSequence(), copy.getEntriesList());
    return copy.getPartEntriesCount() == 0
        ? heldThrough
        : records.journal.appendCopy(copy.getPartFirstSequence(), copy.getPartEntriesList());
  }

  /**
   * Removes the records of an origin up to a sequence number that the control state has counted.
   */
  public void markCommittedThrough(String instance, long boot, long sequence, long nowNanos) {
    @Nullable HeldRecords records = recordsByOrigin.get(new Origin(instance, boot));
    if (records != null) {
      records.journal.markCommittedThrough(sequence);
      records.takeoverDueAtNanos = nowNanos + TAKEOVER_NANOS;
    }
  }

  /**
   * Returns one batch for each origin that has not committed its records in time, and restarts the
   * timeout of that origin.
   */
  public List<UsageBatch> takeOverdueBatches(long nowNanos) {
    recordsByOrigin
        .values()
        .removeIf(
            records -> records.journal.isEmpty() && nowNanos - records.takeoverDueAtNanos >= 0);
    List<UsageBatch> batches = new ArrayList<>();
    for (HeldRecords records : recordsByOrigin.values()) {
      if (nowNanos - records.takeoverDueAtNanos >= 0) {
        records.takeoverDueAtNanos = nowNanos + TAKEOVER_NANOS;
        records.journal.nextBatch().ifPresent(batches::add);
      }
    }
    return batches;
  }

  /** Returns whether no records are held for any origin. */
  public boolean isEmpty() {
    return recordsByOrigin.values().stream().allMatch(records -> records.journal.isEmpty());
  }

  private record Origin(String instance, long boot) {}

  private static final class HeldRecords {
    private final UsageJournal journal;
    private long takeoverDueAtNanos;

    HeldRecords(UsageJournal journal, long nowNanos) {
      this.journal = journal;
      this.takeoverDueAtNanos = nowNanos + TAKEOVER_NANOS;
    }
  }
}
