package org.teaseltrestle.consensus;

import java.util.List;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/**
 * Durable state of one replica. After a method failed with {@link ErrorCode#FILE_ACCESS} the
 * storage refuses further writes, because the state of the files is unknown; the replica must stop.
 */
public interface ReplicaStorage extends AutoCloseable {

  /** Returns the identity that was created together with the storage. */
  ReplicaId identity();

  /**
   * Returns the state that was stored when the storage was opened, until it is released. All of it
   * is durable, so that the replica may acknowledge it.
   */
  RecoveredState recovered();

  /** Releases the recovered state, whose entries would otherwise stay in memory. */
  void releaseRecovered();

  /** Returns what was found when the storage was opened; stays available after a release. */
  RecoverySummary recoverySummary();

  /** Buffers the term and vote; durable after {@link #sync()}. */
  void saveHardState(HardState state);

  /** Buffers entries; durable after {@link #sync()}. */
  void append(List<LogEntry> entries);

  /** Stores a snapshot, and all buffered state before it; durable on return. */
  void saveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex);

  /**
   * Makes all buffered state durable.
   *
   * @throws TrestleException with {@link ErrorCode#FILE_ACCESS} if the disk is full or fails
   */
  void sync();

  /** Executes a storage action. */
  default void execute(RaftAction.StorageAction action) {
    if (action instanceof RaftAction.SaveHardState save) {
      saveHardState(save.state());
    } else if (action instanceof RaftAction.AppendEntries append) {
      append(append.entries());
    } else if (action instanceof RaftAction.SaveSnapshot save) {
      saveSnapshot(save.snapshot(), save.entries(), save.firstRetainedIndex());
    }
  }

  @Override
  void close();
}
