package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseltrestle.consensus.EntryKind;
import org.teaseltrestle.consensus.LogEntry;
import org.teaseltrestle.consensus.RaftAction;
import org.teaseltrestle.consensus.RaftCore;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftEvent;
import org.teaseltrestle.consensus.ReplicaStorage;
import org.teaseltrestle.consensus.Snapshot;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.LeaderAnswer;

/**
 * Executes the actions of the Raft core: writes and syncs, then sends messages, applies entries and
 * replies to requests. Events that arrive together share one sync. Used by the replica duty only.
 */
final class ReplicaDriver {

  private static final EventLog LOG = EventLog.of(ReplicaDriver.class);

  // A restart reads the snapshot and at most this much of the log.
  private static final long SNAPSHOT_INTERVAL_ENTRIES = 5_000;
  private static final long SNAPSHOT_INTERVAL_BYTES = 4L * 1024 * 1024;

  private final RaftCore core;
  private final ReplicaStorage storage;
  private final AppliedState state;
  private final MonotonicClock clock;
  private final Consumer<RaftEnvelope> sender;
  private final Consumer<RaftAction.RoleChanged> roleListener;
  private final PendingCommands pendingCommands = new PendingCommands();
  private final Map<Long, Consumer<LeaderAnswer>> pendingReads = new HashMap<>();
  private final Map<Long, CommandAnswer> proposalAnswers = new HashMap<>();
  private List<RaftAction> pending = new ArrayList<>();
  private long nextRequestId = 1;
  private long entriesSinceSnapshot;
  private long bytesSinceSnapshot;
  private long lastSnapshotBytes;

  ReplicaDriver(
      RaftCore core,
      ReplicaStorage storage,
      AppliedState state,
      MonotonicClock clock,
      Consumer<RaftEnvelope> sender,
      Consumer<RaftAction.RoleChanged> roleListener) {
    this.core = core;
    this.storage = storage;
    this.state = state;
    this.clock = clock;
    this.sender = sender;
    this.roleListener = roleListener;
    Snapshot snapshot = storage.recovered().snapshot();
    if (snapshot != null) {
      restore(snapshot);
    }
  }

  RaftCore core() {
    return core;
  }

  /** Passes an event to the core; the next {@link #flush()} executes the resulting actions. */
  void handle(RaftEvent event) {
    pending.addAll(core.handle(event, clock.nowNanos()));
  }

  int pendingActions() {
    return pending.size();
  }

  /** Proposes a command; one that is undecided already is not appended once more. */
  void propose(byte[] command, Consumer<LeaderAnswer> reply) {
    if (pendingCommands.join(command, reply)) {
      return;
    }
    long id = nextRequestId++;
    pendingCommands.add(id, command, reply);
    handle(new RaftEvent.Propose(id, command));
  }

  void confirm(Consumer<LeaderAnswer> reply) {
    long id = nextRequestId++;
    pendingReads.put(id, reply);
    handle(new RaftEvent.ReadIndex(id));
  }

  /** Executes all pending actions: storage actions, one sync, then the other actions in order. */
  void flush() {
    while (!pending.isEmpty()) {
      List<RaftAction> batch = pending;
      pending = new ArrayList<>();
      boolean needsSync = false;
      for (RaftAction action : batch) {
        if (action instanceof RaftAction.StorageAction storageAction) {
          storage.execute(storageAction);
          needsSync = true;
        }
      }
      if (needsSync) {
        storage.sync();
      }
      batch.forEach(this::execute);
      takeSnapshotIfDue();
    }
  }

  /** Replies to all pending requests that their outcome is unknown. */
  void failPendingRequests() {
    LeaderAnswer unknown = LeaderAnswers.refused(RaftAction.Refusal.OUTCOME_UNKNOWN, null);
    pendingCommands.decideAll(unknown);
    List.copyOf(pendingReads.keySet()).forEach(id -> replyToRead(id, unknown));
  }

  private void execute(RaftAction action) {
    if (action instanceof RaftAction.Send send) {
      sender.accept(send.envelope());
    } else if (action instanceof RaftAction.Apply apply) {
      apply.entries().forEach(this::apply);
      state.publish();
    } else if (action instanceof RaftAction.ProposalAppended appended) {
      proposalAnswers.put(appended.index(), CommandAnswer.getDefaultInstance());
    } else if (action instanceof RaftAction.ProposalCommitted committed) {
      CommandAnswer answer =
          proposalAnswers.getOrDefault(committed.index(), CommandAnswer.getDefaultInstance());
      proposalAnswers.remove(committed.index());
      pendingCommands.decide(committed.proposalId(), LeaderAnswers.answered(answer));
    } else if (action instanceof RaftAction.ProposalFailed failed) {
      pendingCommands.decide(
          failed.proposalId(), LeaderAnswers.refused(failed.refusal(), failed.leader()));
    } else if (action instanceof RaftAction.ReadConfirmed read) {
      replyToRead(read.readId(), LeaderAnswers.confirmed(read.index()));
    } else if (action instanceof RaftAction.ReadFailed failed) {
      replyToRead(failed.readId(), LeaderAnswers.refused(failed.refusal(), failed.leader()));
    } else if (action instanceof RaftAction.RestoreState restoreState) {
      restore(restoreState.snapshot());
    } else if (action instanceof RaftAction.RoleChanged changed) {
      proposalAnswers.clear();
      roleListener.accept(changed);
    }
  }

  private void apply(LogEntry entry) {
    boolean command = entry.kind() == EntryKind.COMMAND;
    CommandAnswer answer =
        state.apply(
            entry.index(), command ? ByteString.copyFrom(entry.payload()) : ByteString.EMPTY);
    if (command) {
      proposalAnswers.replace(entry.index(), answer);
    }
    entriesSinceSnapshot++;
    bytesSinceSnapshot += entry.payload().length;
  }

  private void replyToRead(long readId, LeaderAnswer answer) {
    Consumer<LeaderAnswer> reply = pendingReads.remove(readId);
    if (reply != null) {
      reply.accept(answer);
    }
  }

  private void restore(Snapshot snapshot) {
    state.restore(snapshot.index(), snapshot.data());
    resetSnapshotCounters(snapshot.data().length);
    LOG.info(ReplicaEvent.STATE_RESTORED, "index", snapshot.index());
  }

  private void takeSnapshotIfDue() {
    boolean due =
        entriesSinceSnapshot >= SNAPSHOT_INTERVAL_ENTRIES
            || bytesSinceSnapshot >= Math.max(SNAPSHOT_INTERVAL_BYTES, lastSnapshotBytes);
    if (due) {
      byte[] data = state.snapshot();
      resetSnapshotCounters(data.length);
      handle(new RaftEvent.SnapshotTaken(state.appliedIndex(), data));
      LOG.info(ReplicaEvent.SNAPSHOT_SAVED, "index", state.appliedIndex(), "bytes", data.length);
    }
  }

  private void resetSnapshotCounters(int bytes) {
    entriesSinceSnapshot = 0;
    bytesSinceSnapshot = 0;
    lastSnapshotBytes = bytes;
  }
}
