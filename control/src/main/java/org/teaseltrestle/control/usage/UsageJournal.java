package org.teaseltrestle.control.usage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageEntry;
import org.teaseltrestle.wire.UsageFigure;

/**
 * Usage records of one process start that are not committed yet, with consecutive sequence numbers.
 * The origin and its partner hold the same records under the same numbers, so either may propose
 * them: the control state counts each number once.
 */
public final class UsageJournal {

  /** Maximum number of records in one batch; bounds the size of a log entry. */
  static final int MAXIMUM_BATCH_RECORDS = 10_000;

  private final String instance;
  private final long boot;
  private final Deque<UsageEntry> entries = new ArrayDeque<>();
  private long committedThrough;

  /** Creates an empty journal of one process start. */
  public UsageJournal(String instance, long boot) {
    this.instance = instance;
    this.boot = boot;
  }

  /** Appends a record and returns its sequence number, from 1. */
  public long append(UsageEntry entry) {
    entries.add(entry);
    return lastSequence();
  }

  /**
   * Adds a copy of records and ignores records that are already held, and all of them if records
   * before them are missing.
   *
   * @param firstSequence sequence number of the first record of the copy
   * @return sequence number up to which all records are held or committed
   */
  public long appendCopy(long firstSequence, List<UsageEntry> copy) {
    long skip = lastSequence() + 1 - firstSequence;
    if (skip >= 0 && skip < copy.size()) {
      entries.addAll(copy.subList((int) skip, copy.size()));
    }
    return lastSequence();
  }

  /** Removes the records up to a sequence number that the control state has counted. */
  public void markCommittedThrough(long sequence) {
    while (committedThrough < sequence && !entries.isEmpty()) {
      entries.poll();
      committedThrough++;
    }
    committedThrough = Math.max(committedThrough, sequence);
  }

  /** Returns the sequence number of the last record, 0 if there was none. */
  public long lastSequence() {
    return committedThrough + entries.size();
  }

  /** Returns the sequence number of the first record that is not committed. */
  public long firstUncommitted() {
    return committedThrough + 1;
  }

  /** Returns whether every record is committed. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns the records that are not committed, to be copied to the partner.
   *
   * @param firstSequence sequence number of the first record, not below the first uncommitted one
   * @param maximum maximum number of records
   */
  public List<UsageEntry> uncommitted(long firstSequence, int maximum) {
    return entries.stream().skip(firstSequence - firstUncommitted()).limit(maximum).toList();
  }

  /**
   * Returns the sums of the leading records that belong to the same window, or empty if every
   * record is committed.
   */
  public Optional<UsageBatch> nextBatch() {
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    long window = entries.element().getWindow();
    Map<String, UsageFigure.Builder> sums = new TreeMap<>();
    long last = committedThrough;
    for (UsageEntry entry : entries) {
      if (entry.getWindow() != window || last - committedThrough >= MAXIMUM_BATCH_RECORDS) {
        break;
      }
      last++;
      add(sums, entry);
    }
    List<UsageFigure> figures = new ArrayList<>();
    sums.values().forEach(sum -> figures.add(sum.build()));
    return Optional.of(
        UsageBatch.newBuilder()
            .setInstance(instance)
            .setBoot(boot)
            .setFirstSequence(committedThrough + 1)
            .setLastSequence(last)
            .setWindow(window)
            .addAllFigures(figures)
            .build());
  }

  private static void add(Map<String, UsageFigure.Builder> sums, UsageEntry entry) {
    UsageFigure.Builder sum =
        sums.computeIfAbsent(
            entry.getAccount() + '\n' + entry.getItem(),
            key ->
                UsageFigure.newBuilder().setAccount(entry.getAccount()).setItem(entry.getItem()));
    sum.setPromptTokens(sum.getPromptTokens() + entry.getPromptTokens())
        .setOutputTokens(sum.getOutputTokens() + entry.getOutputTokens())
        .setRequests(sum.getRequests() + 1);
  }
}
