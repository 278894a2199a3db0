package org.teaseltrestle.consensus;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.consensus.RaftMessage.AppendAnswer;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.SnapshotAnswer;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/** Takes entries and snapshots from the leader. */
final class FollowerLog {

  private final ReplicaContext context;
  private @Nullable SnapshotChunk firstChunk;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();

  FollowerLog(ReplicaContext context) {
    this.context = context;
  }

  void onAppend(ReplicaId from, AppendRequest request) {
    if (request.term() < context.term) {
      answer(from, false, 0, request.sentAtNanos());
      return;
    }
    acceptLeader(from, request.term());
    RaftLog log = context.log;
    long previous = request.previousIndex();
    if (previous > log.lastIndex()) {
      answer(from, false, log.lastIndex(), request.sentAtNanos());
    } else if (previous >= log.baseIndex() && log.termAt(previous) != request.previousTerm()) {
      answer(from, false, beforeTermOf(previous), request.sentAtNanos());
    } else {
      store(request.entries());
      long match = previous + request.entries().size();
      context.advanceCommit(Math.min(request.commitIndex(), match));
      answer(from, true, match, request.sentAtNanos());
    }
  }

  void onChunk(ReplicaId from, SnapshotChunk chunk) {
    if (chunk.term() < context.term) {
      answer(from, false, 0, chunk.sentAtNanos());
      return;
    }
    acceptLeader(from, chunk.term());
    if (chunk.totalLength() > context.settings.maximumSnapshotBytes()) {
      return;
    }
    int next = chunk.index() <= context.commitIndex ? chunk.totalLength() : collect(chunk);
    if (next == chunk.totalLength()
        && chunk.index() > context.commitIndex
        && received.size() == next) {
      install(chunk);
    }
    context.send(from, new SnapshotAnswer(context.term, chunk.index(), next, chunk.sentAtNanos()));
  }

  private void acceptLeader(ReplicaId from, long term) {
    if (term > context.term) {
      context.follow(term, from);
    }
    context.heardLeader(from);
  }

  private void answer(ReplicaId to, boolean successful, long match, long sentAtNanos) {
    context.send(to, new AppendAnswer(context.term, successful, match, sentAtNanos));
  }

  /** Returns the last index before the run of entries of the term that stands at an index. */
  private long beforeTermOf(long index) {
    long term = context.log.termAt(index);
    long candidate = index;
    while (candidate > context.commitIndex && context.log.termAt(candidate) == term) {
      candidate--;
    }
    return candidate;
  }

  private void store(List<LogEntry> entries) {
    RaftLog log = context.log;
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      if (entry.index() <= log.baseIndex() || log.contains(entry.index(), entry.term())) {
        continue;
      }
      if (entry.index() <= context.commitIndex) {
        throw new TrestleException(
            ErrorCode.INTERNAL, "leader replaces committed entry " + entry.index());
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
      }
      context.append(List.copyOf(entries.subList(i, entries.size())));
      return;
    }
  }

  private int collect(SnapshotChunk chunk) {
    SnapshotChunk first = firstChunk;
    if (first == null
        || first.term() != chunk.term()
        || first.index() != chunk.index()
        || first.totalLength() != chunk.totalLength()) {
      firstChunk = chunk;
      received.reset();
    }
    if (chunk.offset() == received.size()) {
      received.writeBytes(chunk.data());
    }
    return received.size();
  }

  private void install(SnapshotChunk chunk) {
    Snapshot snapshot =
        new Snapshot(
            chunk.index(), chunk.indexTerm(), chunk.configuration(), received.toByteArray());
    received.reset();
    firstChunk = null;
    boolean agrees = context.log.contains(snapshot.index(), snapshot.term());
    StoredEntries entries = agrees ? StoredEntries.PRUNE : StoredEntries.DISCARD;
    context.log.install(snapshot);
    context.commitIndex = snapshot.index();
    context.emit(new RaftAction.SaveSnapshot(snapshot, entries, snapshot.index() + 1));
    context.emit(new RaftAction.RestoreState(snapshot));
  }
}
