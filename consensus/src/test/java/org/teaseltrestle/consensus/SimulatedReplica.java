package org.teaseltrestle.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/**
 * Replica of a random schedule: a core, a disk that loses unsynced writes, a state machine and a
 * clock of its own.
 */
class SimulatedReplica {

  final InstanceId instance;
  final double clockRate;
  final long clockOffset;
  ReplicaId id;
  @Nullable RaftCore core;
  long frozenUntil;
  List<String> applied = new ArrayList<>();
  long appliedIndex;
  long snapshotIndex;

  /** Time on the way of the message from which this replica knows what is committed. */
  long newsTransitNanos;

  private Disk durable = new Disk();
  private Disk written = new Disk();

  private static final class Disk {
    private HardState hardState = HardState.EMPTY;
    private @Nullable Snapshot snapshot;
    private List<LogEntry> entries = new ArrayList<>();

    Disk copy() {
      Disk copy = new Disk();
      copy.hardState = hardState;
      copy.snapshot = snapshot;
      copy.entries = new ArrayList<>(entries);
      return copy;
    }
  }

  SimulatedReplica(ReplicaId id, double clockRate, long clockOffset) {
    this.instance = id.instance();
    this.id = id;
    this.clockRate = clockRate;
    this.clockOffset = clockOffset;
  }

  long localNanos(long realNanos) {
    return clockOffset + (long) (realNanos * clockRate);
  }

  long realNanos(long localNanos) {
    return (long) ((localNanos - clockOffset) / clockRate);
  }

  boolean isFormed() {
    return durable.snapshot != null || !durable.entries.isEmpty();
  }

  void start(RaftSettings settings, long realNanos) {
    written = durable.copy();
    startCore(
        settings,
        new RecoveredState(durable.hardState, durable.snapshot, durable.entries),
        realNanos);
  }

  final void startCore(RaftSettings settings, RecoveredState recovered, long realNanos) {
    core = new RaftCore(id, settings, recovered, localNanos(realNanos));
    newsTransitNanos = 0;
    applied = new ArrayList<>();
    appliedIndex = 0;
    Snapshot snapshot = recovered.snapshot();
    if (snapshot != null) {
      restore(snapshot);
    }
  }

  /** Ends the process; what is not synced may be lost. */
  void end() {
    core = null;
  }

  /** Ends the process during one of its next writes, if this replica can. */
  void failSoon() {}

  void loseDisk(ReplicaId newId) {
    core = null;
    id = newId;
    durable = new Disk();
  }

  void store(RaftAction.StorageAction action, RandomSchedule.Variant variant) {
    if (action instanceof RaftAction.SaveHardState save) {
      if (variant != RandomSchedule.Variant.VOTE_NOT_PERSISTED) {
        written.hardState = save.state();
      }
    } else if (action instanceof RaftAction.AppendEntries append) {
      long first = append.entries().get(0).index();
      written.entries.removeIf(entry -> entry.index() >= first);
      written.entries.addAll(append.entries());
    } else if (action instanceof RaftAction.SaveSnapshot save) {
      long index = save.snapshot().index();
      written.snapshot = save.snapshot();
      written.entries.removeIf(
          entry -> entry.index() <= index || save.entries() == StoredEntries.DISCARD);
    }
  }

  void sync() {
    durable = written.copy();
  }

  void apply(LogEntry entry) {
    SafetyChecker.check(entry.index() == appliedIndex + 1, "applied out of order: " + id);
    appliedIndex = entry.index();
    if (entry.kind() == EntryKind.COMMAND) {
      applied.add(new String(entry.payload(), StandardCharsets.UTF_8));
    }
  }

  void restore(Snapshot snapshot) {
    SafetyChecker.check(snapshot.index() >= appliedIndex, "state reverted: " + id);
    String text = new String(snapshot.data(), StandardCharsets.UTF_8);
    applied = new ArrayList<>(text.isEmpty() ? List.of() : List.of(text.split(",")));
    appliedIndex = snapshot.index();
    snapshotIndex = appliedIndex;
  }

  byte[] encodedState() {
    return String.join(",", applied).getBytes(StandardCharsets.UTF_8);
  }
}
