package org.teaseltrestle.consensus;

import java.util.List;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/**
 * Durable state of one replica. After any method has failed with {@link ErrorCode#FILE_ACCESS} the
 * storage refuses all further use, because the state of the files is unknown; the replica stops.
 */
public interface ReplicaStorage extends AutoCloseable {

  /** Returns the identity created with the data folder. */
  ReplicaId identity();

  /** Returns what was stored when the storage was opened. */
  RecoveredState recovered();

  /** Takes over term and vote; durable after {@link #sync()}. */
  void saveHardState(HardState state);

  /** Takes over entries; durable after {@link #sync()}. */
  void append(List<LogEntry> entries);

  /** Stores a snapshot and what was taken over before; durable on return. */
  void saveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex);

  /**
   * Makes durable what was taken over.
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
