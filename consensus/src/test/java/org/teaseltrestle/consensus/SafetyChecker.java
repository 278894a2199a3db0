package org.teaseltrestle.consensus;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrestle.model.ReplicaId;

/** Checks the promises of Raft over all replicas of one schedule; a breach is an AssertionError. */
final class SafetyChecker {

  private final Map<Long, ReplicaId> leaderOfTerm = new HashMap<>();
  private final Map<String, String> payloadOfEntry = new HashMap<>();
  private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

  /** Upper bound of the term in which each entry was committed. */
  private final Map<Long, Long> commitTerm = new HashMap<>();

  private final Set<String> accepted = new HashSet<>();
  private long acceptedIndex;

  void onRole(RaftCore core) {
    if (core.role() != RaftRole.LEADER) {
      return;
    }
    ReplicaId other = leaderOfTerm.putIfAbsent(core.term(), core.self());
    check(other == null || other.equals(core.self()), "election safety: term " + core.term());
    for (LogEntry entry : committed.values()) {
      // A candidate of an earlier term may win late, after a later leader committed entries.
      long term = commitTerm.getOrDefault(entry.index(), Long.MAX_VALUE);
      if (term < core.term() && entry.index() >= core.log().baseIndex()) {
        check(
            core.log().contains(entry.index(), entry.term()),
            "leader completeness: " + core.self() + " lacks entry " + entry.index());
      }
    }
  }

  void onAppend(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      String key = entry.index() + "@" + entry.term();
      String other = payloadOfEntry.putIfAbsent(key, text(entry));
      check(other == null || other.equals(text(entry)), "log matching: entry " + key);
    }
  }

  void onApply(LogEntry entry, long term) {
    commitTerm.putIfAbsent(entry.index(), term);
    LogEntry other = committed.putIfAbsent(entry.index(), entry);
    check(
        other == null || (other.term() == entry.term() && text(other).equals(text(entry))),
        "state machine safety: entry " + entry.index());
  }

  void onAccepted(String command, long index) {
    accepted.add(command);
    acceptedIndex = Math.max(acceptedIndex, index);
  }

  long acceptedIndex() {
    return acceptedIndex;
  }

  void onRead(long confirmedIndex, long acceptedAtStart) {
    check(confirmedIndex >= acceptedAtStart, "read index below an accepted entry");
  }

  void onLeases(List<ReplicaId> holders) {
    check(holders.size() <= 1, "two authority leases at once: " + holders);
  }

  void atEnd(List<String> applied) {
    Set<String> missing = new HashSet<>(accepted);
    missing.removeAll(applied);
    check(missing.isEmpty(), "accepted entries lost: " + missing);
  }

  int acceptedCount() {
    return accepted.size();
  }

  /** Breach of safety, as opposed to a schedule that makes no progress. */
  static final class SafetyBreach extends AssertionError {

    private static final long serialVersionUID = 1L;

    SafetyBreach(String message) {
      super(message);
    }
  }

  static void check(boolean holds, String breach) {
    if (!holds) {
      throw new SafetyBreach(breach);
    }
  }

  private static String text(LogEntry entry) {
    return entry.kind() + " " + new String(entry.payload(), StandardCharsets.ISO_8859_1);
  }
}
