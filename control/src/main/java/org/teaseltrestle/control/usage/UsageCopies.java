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
 * Records that this instance holds for other process starts. Records that their origin has not
 * committed in time are proposed by this instance; numbering makes that safe even if the origin
 * still runs.
 */
public final class UsageCopies {

  // An origin commits every second; after five missed rounds it is taken for dead.
  private static final long TAKEOVER_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<Origin, Held> held = new HashMap<>();

  /**
   * Adds a copy.
   *
   * @return sequence number up to which the origin's records are held or committed
   */
  public long add(UsageCopy copy, long nowNanos) {
    Origin origin = new Origin(copy.getInstance(), copy.getBoot());
    Held records =
        held.computeIfAbsent(
            origin, o -> new Held(new UsageJournal(o.instance(), o.boot()), nowNanos));
    // A copy starts at the origin's first uncommitted record, so what precedes it is committed.
    if (copy.getFirstSequence() > records.journal.firstUncommitted()) {
      committed(copy.getInstance(), copy.getBoot(), copy.getFirstSequence() - 1, nowNanos);
    }
    if (records.journal.isEmpty()) {
      records.takeoverAtNanos = nowNanos + TAKEOVER_NANOS;
    }
    return records.journal.appendCopy(copy.getFirstSequence(), copy.getEntriesList());
  }

  /** Forgets the records of an origin up to a number, which the control state has counted. */
  public void committed(String instance, long boot, long sequence, long nowNanos) {
    @Nullable Held records = held.get(new Origin(instance, boot));
    if (records != null) {
      records.journal.committedThrough(sequence);
      records.takeoverAtNanos = nowNanos + TAKEOVER_NANOS;
    }
  }

  /** Returns one batch for each origin that has not committed its records in time. */
  public List<UsageBatch> overdue(long nowNanos) {
    held.values()
        .removeIf(records -> records.journal.isEmpty() && nowNanos - records.takeoverAtNanos >= 0);
    List<UsageBatch> batches = new ArrayList<>();
    for (Held records : held.values()) {
      if (nowNanos - records.takeoverAtNanos >= 0) {
        records.takeoverAtNanos = nowNanos + TAKEOVER_NANOS;
        records.journal.nextBatch().ifPresent(batches::add);
      }
    }
    return batches;
  }

  /** Tells whether records of any origin are held. */
  public boolean isEmpty() {
    return held.values().stream().allMatch(records -> records.journal.isEmpty());
  }

  private record Origin(String instance, long boot) {}

  private static final class Held {
    private final UsageJournal journal;
    private long takeoverAtNanos;

    Held(UsageJournal journal, long nowNanos) {
      this.journal = journal;
      this.takeoverAtNanos = nowNanos + TAKEOVER_NANOS;
    }
  }
}
