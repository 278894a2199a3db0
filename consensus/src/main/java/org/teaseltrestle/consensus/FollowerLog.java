package org.teaseltrestle.consensus;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.consensus.RaftMessage.AppendRequest;
import org.teaseltrestle.consensus.RaftMessage.AppendResponse;
import org.teaseltrestle.consensus.RaftMessage.SnapshotChunk;
import org.teaseltrestle.consensus.RaftMessage.SnapshotResponse;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/** Handles append requests and snapshot chunks of the leader. */
final class FollowerLog {

  private final ReplicaContext context;
  private @Nullable SnapshotChunk firstChunk;
  private final ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();

  FollowerLog(ReplicaContext context) {
    this.context = context;
  }

  void onAppendRequest(ReplicaId from, AppendRequest request) {
    if (request.term() < context.term) {
      sendAppendResponse(from, false, 0, request.sentAtNanos());
      return;
    }
    acceptLeader(from, request.term());
    RaftLog log = context.log;
    long previous = request.previousIndex();
    if (previous > log.lastIndex()) {
      sendAppendResponse(from, false, log.lastIndex(), request.sentAtNanos());
    } else if (previous >= log.baseIndex() && log.termAt(previous) != request.previousTerm()) {
      sendAppendResponse(from, false, lastIndexBeforeTermOf(previous), request.sentAtNanos());
    } else {
      appendNewEntries(request.entries());
      long match = previous + request.entries().size();
      context.advanceCommit(Math.min(request.commitIndex(), match));
      recordCommittedKnown(request);
      sendAppendResponse(from, true, match, request.sentAtNanos());
    }
  }

  void onSnapshotChunk(ReplicaId from, SnapshotChunk chunk) {
    if (chunk.term() < context.term) {
      sendAppendResponse(from, false, 0, chunk.sentAtNanos());
      return;
    }
    acceptLeader(from, chunk.term());
    if (chunk.totalLength() > context.settings.maximumSnapshotBytes()) {
      return;
    }
    int nextOffset = chunk.index() <= context.commitIndex ? chunk.totalLength() : addChunk(chunk);
    if (nextOffset == chunk.totalLength()
        && chunk.index() > context.commitIndex
        && receivedBytes.size() == nextOffset) {
      install(chunk);
    }
    context.send(
        from, new SnapshotResponse(context.term, chunk.index(), nextOffset, chunk.sentAtNanos()));
  }

  /** A new leader may not know that entries of earlier terms are committed. */
  private void recordCommittedKnown(AppendRequest request) {
    if (context.commitIndex >= request.commitIndex()
        && context.log.termAt(context.commitIndex) == request.term()) {
      request
          .knownAgeNanos()
          .ifPresent(age -> context.recordCommittedKnown(context.nowNanos - age));
    }
  }

  private void acceptLeader(ReplicaId from, long term) {
    if (term > context.term) {
      context.follow(term, from);
    }
    context.recordLeaderContact(from);
  }

  private void sendAppendResponse(
      ReplicaId to, boolean successful, long matchIndex, long sentAtNanos) {
    context.send(to, new AppendResponse(context.term, successful, matchIndex, sentAtNanos));
  }

  /**
   * Returns the last index before the consecutive entries that have the term of the given entry,
   * but at least the commit index.
   */
  private long lastIndexBeforeTermOf(long index) {
    long term = context.log.termAt(index);
    long candidate = index;
    while (candidate > context.commitIndex && context.log.termAt(candidate) == term) {
      candidate--;
    }
    return candidate;
  }

  private void appendNewEntries(List<LogEntry> entries) {
    RaftLog log = context.log;
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      if (entry.index() <= log.baseIndex() || log.contains(entry.index(), entry.term())) {
        continue;
      }
      if (entry.index() <= context.commitIndex) {
        throw new TrestleException(
            ErrorCode.INTERNAL, "append request conflicts with committed entry " + entry.index());
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
      }
      context.append(List.copyOf(entries.subList(i, entries.size())));
      return;
    }
  }

  private int addChunk(SnapshotChunk chunk) {
    SnapshotChunk first = firstChunk;
    if (first == null
        || first.term() != chunk.term()
        || first.index() != chunk.index()
        || first.totalLength() != chunk.totalLength()) {
      firstChunk = chunk;
      receivedBytes.reset();
    }
    if (chunk.offset() == receivedBytes.size()) {
      receivedBytes.writeBytes(chunk.data());
    }
    return receivedBytes.size();
  }

  private void install(SnapshotChunk chunk) {
    Snapshot snapshot =
        new Snapshot(
            chunk.index(), chunk.indexTerm(), chunk.configuration(), receivedBytes.toByteArray());
    receivedBytes.reset();
    firstChunk = null;
    boolean logMatches = context.log.contains(snapshot.index(), snapshot.term());
    StoredEntries entries = logMatches ? StoredEntries.PRUNE : StoredEntries.DISCARD;
    context.log.install(snapshot);
    context.commitIndex = snapshot.index();
    context.emit(new RaftAction.SaveSnapshot(snapshot, entries, snapshot.index() + 1));
    context.emit(new RaftAction.RestoreState(snapshot));
  }
}
