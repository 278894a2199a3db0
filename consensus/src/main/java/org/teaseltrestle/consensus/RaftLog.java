package org.teaseltrestle.consensus;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** In-memory log of a replica: the latest snapshot and the entries after a base index. */
final class RaftLog {

  private final List<LogEntry> entries = new ArrayList<>();
  private final List<LogEntry> configurationEntries = new ArrayList<>();
  private @Nullable Snapshot snapshot;
  private Configuration baseConfiguration = Configuration.EMPTY;
  private Configuration configuration = Configuration.EMPTY;
  private long baseIndex;
  private long baseTerm;

  RaftLog(RecoveredState recovered) {
    if (recovered.snapshot() != null) {
      install(recovered.snapshot());
    }
    recovered.entries().forEach(this::append);
  }

  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  boolean isEmpty() {
    return lastIndex() == 0;
  }

  /** Returns the latest configuration, committed or not. */
  Configuration configuration() {
    return configuration;
  }

  /** Returns the index of the last configuration entry after the base, or the base index. */
  long configurationIndex() {
    int count = configurationEntries.size();
    return count == 0 ? baseIndex : configurationEntries.get(count - 1).index();
  }

  /** Returns the term at an index from the base index to the last index. */
  long termAt(long index) {
    return index == baseIndex ? baseTerm : entry(index).term();
  }

  boolean contains(long index, long term) {
    return index >= baseIndex && index <= lastIndex() && termAt(index) == term;
  }

  LogEntry entry(long index) {
    if (index <= baseIndex || index > lastIndex()) {
      throw new TrestleException(
          ErrorCode.INTERNAL,
          "log index " + index + " is not above " + baseIndex + " and at most " + lastIndex());
    }
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the entries from one index to another, both inclusive. */
  List<LogEntry> range(long first, long last) {
    if (first > last) {
      return List.of();
    }
    entry(first);
    entry(last);
    return List.copyOf(entries.subList((int) (first - baseIndex - 1), (int) (last - baseIndex)));
  }

  /**
   * Returns consecutive entries that start at an index: the first one whatever its size, and as
   * many more as have at most {@code maximumBytes} of payload together.
   */
  List<LogEntry> batch(long first, int maximumBytes) {
    long last = first;
    long bytes = 0;
    while (last < lastIndex() && bytes + entry(last + 1).payload().length <= maximumBytes) {
      last++;
      bytes += entry(last).payload().length;
    }
    return range(first, Math.min(last, lastIndex()));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new TrestleException(
          ErrorCode.INTERNAL,
          "entry " + entry.index() + " does not follow last entry " + lastIndex());
    }
    entries.add(entry);
    if (entry.kind() == EntryKind.CONFIGURATION) {
      configurationEntries.add(entry);
      updateConfiguration();
    }
  }

  /** Removes the entry at an index and all later ones. */
  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    configurationEntries.removeIf(entry -> entry.index() >= index);
    updateConfiguration();
  }

  /** Returns the configuration in effect at an index from the base index to the last index. */
  Configuration configurationAt(long index) {
    Configuration latest = baseConfiguration;
    for (LogEntry entry : configurationEntries) {
      if (entry.index() <= index) {
        latest = Configuration.decode(entry.payload());
      }
    }
    return latest;
  }

  /**
   * Replaces the log by a snapshot of the leader. Entries after the snapshot are retained if this
   * log contains the last entry that the snapshot covers.
   */
  void install(Snapshot installed) {
    final List<LogEntry> retained =
        contains(installed.index(), installed.term())
            ? range(installed.index() + 1, lastIndex())
            : List.of();
    entries.clear();
    configurationEntries.clear();
    snapshot = installed;
    baseIndex = installed.index();
    baseTerm = installed.term();
    baseConfiguration = installed.configuration();
    updateConfiguration();
    retained.forEach(this::append);
  }

  /**
   * Adopts a snapshot that this replica took and removes the entries before the retained ones.
   *
   * @param retainedEntries maximum number of retained entries that the snapshot covers
   * @param retainedBytes maximum payload bytes of these entries together
   */
  void compact(Snapshot taken, long retainedEntries, long retainedBytes) {
    snapshot = taken;
    final long newBase = indexBeforeRetained(taken.index(), retainedEntries, retainedBytes);
    final Configuration newConfiguration = configurationAt(newBase);
    final long newTerm = termAt(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    configurationEntries.removeIf(entry -> entry.index() <= newBase);
    baseIndex = newBase;
    baseTerm = newTerm;
    baseConfiguration = newConfiguration;
  }

  private long indexBeforeRetained(long last, long maximumEntries, long maximumBytes) {
    long oldest = Math.max(baseIndex, last - maximumEntries);
    long candidate = last;
    long bytes = 0;
    while (candidate > oldest && bytes + entry(candidate).payload().length <= maximumBytes) {
      bytes += entry(candidate).payload().length;
      candidate--;
    }
    return candidate;
  }

  private void updateConfiguration() {
    int count = configurationEntries.size();
    configuration =
        count == 0
            ? baseConfiguration
            : Configuration.decode(configurationEntries.get(count - 1).payload());
  }
}
