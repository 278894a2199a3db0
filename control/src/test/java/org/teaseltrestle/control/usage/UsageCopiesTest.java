package org.teaseltrestle.control.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageCopy;
import org.teaseltrestle.wire.UsageEntry;
import org.testng.annotations.Test;

/** Tests of the usage records that are held by the origin and by its partner. */
public final class UsageCopiesTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static UsageEntry entry(long window, int outputTokens) {
    return UsageEntry.newBuilder()
        .setAccount("yard-north")
        .setItem("pren-7b")
        .setOutputTokens(outputTokens)
        .setWindow(window)
        .build();
  }

  private static UsageCopy copyOf(UsageJournal journal) {
    return UsageCopy.newBuilder()
        .setInstance("entry-1")
        .setBoot(7)
        .setFirstSequence(journal.firstUncommitted())
        .addAllEntries(journal.uncommitted(journal.firstUncommitted(), Integer.MAX_VALUE))
        .build();
  }

  /** Guards against batches that span windows or skip sequence numbers. */
  public static final class JournalTest {

    @Test
    public void batchEndsAtWindowAndNextStartsAfterCommit() {
      UsageJournal journal = new UsageJournal("entry-1", 7);
      journal.append(entry(1, 10));
      journal.append(entry(1, 5));
      journal.append(entry(2, 3));
      UsageBatch first = journal.nextBatch().orElseThrow();
      assertEquals(first.getLastSequence(), 2);
      assertEquals(first.getFigures(0).getOutputTokens(), 15);
      journal.markCommittedThrough(2);
      UsageBatch second = journal.nextBatch().orElseThrow();
      assertEquals(second.getFirstSequence(), 3);
      assertEquals(second.getWindow(), 2);
    }
  }

  /** Guards against losing records or counting them twice when the origin fails. */
  public static final class TakeoverTest {

    @Test
    public void partnerProposesSameNumbersWhenOriginStopsCommitting() {
      UsageJournal origin = new UsageJournal("entry-1", 7);
      origin.append(entry(1, 10));
      UsageCopies partner = new UsageCopies();
      assertEquals(partner.add(copyOf(origin), 0), 1);
      origin.append(entry(1, 4));
      assertEquals(partner.add(copyOf(origin), SECOND), 2);
      assertTrue(partner.takeOverdueBatches(4 * SECOND).isEmpty());
      List<UsageBatch> batches = partner.takeOverdueBatches(6 * SECOND);
      assertEquals(batches, List.of(origin.nextBatch().orElseThrow()));
    }

    @Test
    public void newPartnerStartsAtFirstUncommittedRecord() {
      UsageJournal origin = new UsageJournal("entry-1", 7);
      origin.append(entry(1, 10));
      origin.markCommittedThrough(1);
      origin.append(entry(1, 4));
      UsageCopies partner = new UsageCopies();
      assertEquals(partner.add(copyOf(origin), 0), 2);
      UsageBatch batch = partner.takeOverdueBatches(6 * SECOND).get(0);
      assertEquals(batch.getFirstSequence(), 2);
      assertEquals(batch.getFigures(0).getOutputTokens(), 4);
    }

    @Test
    public void emptyCopyMeansEverythingIsCommitted() {
      UsageJournal origin = new UsageJournal("entry-1", 7);
      origin.append(entry(1, 10));
      UsageCopies partner = new UsageCopies();
      partner.add(copyOf(origin), 0);
      origin.markCommittedThrough(1);
      partner.add(copyOf(origin), SECOND);
      assertTrue(partner.takeOverdueBatches(20 * SECOND).isEmpty());
    }

    @Test
    public void formerPartnerRemovesRecordsThatOriginCommitted() {
      UsageJournal origin = new UsageJournal("entry-1", 7);
      origin.append(entry(1, 10));
      UsageCopies partner = new UsageCopies();
      partner.add(copyOf(origin), 0);
      partner.markCommittedThrough("entry-1", 7, 1, SECOND);
      assertTrue(partner.isEmpty());
      assertTrue(partner.takeOverdueBatches(20 * SECOND).isEmpty());
    }
  }
}
