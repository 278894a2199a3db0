package org.teaseltrestle.consensus;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaseltrestle.model.ReplicaId;

/**
 * Checks the safety properties of Raft over all replicas of one schedule and throws a {@link
 * SafetyViolation} if one is violated.
 */
final class SafetyChecker {

  private final Map<Long, ReplicaId> leaderOfTerm = new HashMap<>();
  private final Map<String, String> payloadOfEntry = new HashMap<>();
  private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

  /** Upper bound of the term in which each entry was committed. */
  private final Map<Long, Long> commitTerm = new HashMap<>();

  private final Set<String> accepted = new HashSet<>();
  private final TreeMap<Long, Long> acceptedIndexByTime = new TreeMap<>();
  private long acceptedIndex;

  void onRoleChange(RaftCore core) {
    if (core.role() != RaftRole.LEADER) {
      return;
    }
    ReplicaId other = leaderOfTerm.putIfAbsent(core.term(), core.self());
    check(other == null || other.equals(core.self()), "election safety: term " + core.term());
    for (LogEntry entry : committed.values()) {
      // A candidate of an earlier term may win after a later leader has committed entries.
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

  void onProposalAccepted(String command, long index, long atNanos) {
    accepted.add(command);
    acceptedIndex = Math.max(acceptedIndex, index);
    acceptedIndexByTime.put(atNanos, acceptedIndex);
  }

  long acceptedIndex() {
    return acceptedIndex;
  }

  void onRead(long confirmedIndex, long acceptedAtStart) {
    check(confirmedIndex >= acceptedAtStart, "linearizability: read index below an accepted entry");
  }

  /** Checks that a replica that claims to know all entries as of a time has those accepted then. */
  void onKnown(ReplicaId replica, long appliedIndex, long claimedAtNanos) {
    Map.Entry<Long, Long> before = acceptedIndexByTime.lowerEntry(claimedAtNanos);
    check(
        before == null || appliedIndex >= before.getValue(),
        "knowledge: " + replica + " has " + appliedIndex + " and claims to know " + before);
  }

  void onLeaseHolders(List<ReplicaId> holders) {
    check(holders.size() <= 1, "two authority leases at once: " + holders);
  }

  void onScheduleEnd(List<String> applied) {
    Set<String> missing = new HashSet<>(accepted);
    missing.removeAll(applied);
    check(missing.isEmpty(), "accepted entries lost: " + missing);
  }

  int acceptedCount() {
    return accepted.size();
  }

  /** Violation of a safety property, as opposed to a schedule that makes no progress. */
  static final class SafetyViolation extends AssertionError {

    private static final long serialVersionUID = 1L;

    SafetyViolation(String message) {
      super(message);
    }
  }

  static void check(boolean holds, String violation) {
    if (!holds) {
      throw new SafetyViolation(violation);
    }
  }

  private static String text(LogEntry entry) {
    return entry.kind() + " " + new String(entry.payload(), StandardCharsets.ISO_8859_1);
  }
}
