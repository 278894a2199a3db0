package org.teaseltrestle.consensus;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Log of a replica in memory: the newest snapshot and the entries after a base index. */
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

  /** Returns the newest configuration, committed or not. */
  Configuration configuration() {
    return configuration;
  }

  /** Returns the index of the newest configuration entry after the base, or the base index. */
  long configurationIndex() {
    int count = configurationEntries.size();
    return count == 0 ? baseIndex : configurationEntries.get(count - 1).index();
  }

  /** Returns the term of an entry from the base to the last one. */
  long termAt(long index) {
    return index == baseIndex ? baseTerm : entry(index).term();
  }

  boolean contains(long index, long term) {
    return index >= baseIndex && index <= lastIndex() && termAt(index) == term;
  }

  LogEntry entry(long index) {
    if (index <= baseIndex || index > lastIndex()) {
      throw new TrestleException(
          ErrorCode.INTERNAL, "log index " + index + " outside " + baseIndex + ".." + lastIndex());
    }
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the entries from an index to another, both included. */
  List<LogEntry> range(long first, long last) {
    if (first > last) {
      return List.of();
    }
    entry(first);
    entry(last);
    return List.copyOf(entries.subList((int) (first - baseIndex - 1), (int) (last - baseIndex)));
  }

  /** Returns entries from an index on, with at most the given bytes beyond the first. */
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
          ErrorCode.INTERNAL, "entry " + entry.index() + " does not follow " + lastIndex());
    }
    entries.add(entry);
    if (entry.kind() == EntryKind.CONFIGURATION) {
      configurationEntries.add(entry);
      updateConfiguration();
    }
  }

  /** Removes an entry and all later ones. */
  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    configurationEntries.removeIf(entry -> entry.index() >= index);
    updateConfiguration();
  }

  /** Returns the configuration as of an index from the base to the last one. */
  Configuration configurationAt(long index) {
    Configuration found = baseConfiguration;
    for (LogEntry entry : configurationEntries) {
      if (entry.index() <= index) {
        found = Configuration.decode(entry.payload());
      }
    }
    return found;
  }

  /** Replaces everything by a snapshot of a leader, keeping entries after it that agree. */
  void install(Snapshot installed) {
    final List<LogEntry> kept =
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
    kept.forEach(this::append);
  }

  /** Takes over an own snapshot and drops the entries before the retained ones. */
  void compact(Snapshot taken, long retainedEntries) {
    snapshot = taken;
    long newBase = Math.max(baseIndex, taken.index() - retainedEntries);
    final Configuration newConfiguration = configurationAt(newBase);
    final long newTerm = termAt(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    configurationEntries.removeIf(entry -> entry.index() <= newBase);
    baseIndex = newBase;
    baseTerm = newTerm;
    baseConfiguration = newConfiguration;
  }

  private void updateConfiguration() {
    int count = configurationEntries.size();
    configuration =
        count == 0
            ? baseConfiguration
            : Configuration.decode(configurationEntries.get(count - 1).payload());
  }
}
