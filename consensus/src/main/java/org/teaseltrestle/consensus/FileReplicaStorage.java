package org.teaseltrestle.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/** Storage in the files of a data folder, which is locked against other processes. */
public final class FileReplicaStorage implements ReplicaStorage {

  private static final String LOCK_FILE = "lock";
  private static final String IDENTITY_FILE = "identity";
  private static final String HARD_STATE_FILE = "hard-state";
  private static final String SNAPSHOT_PREFIX = "snapshot-";
  private static final String SNAPSHOT_SUFFIX = ".snapshot";

  /** Space beside the last segment that a replica needs to be opened again. */
  private static final long REOPEN_FREE_BYTES = 64 * 1024;

  private final DurableFiles files;
  private final SegmentedLog log;
  private final Closeable lock;
  private final ReplicaId identity;
  private final RecoverySummary recoverySummary;
  private RecoveredState recovered;
  private final List<LogEntry> pendingEntries = new ArrayList<>();
  private @Nullable HardState pendingHardState;
  private boolean failed;

  private interface FileOperation {
    void run() throws IOException;
  }

  private FileReplicaStorage(
      DurableFiles files, Closeable lock, ReplicaId identity, SegmentedLog log) throws IOException {
    this.files = files;
    this.lock = lock;
    this.identity = identity;
    this.log = log;
    this.recovered = recover();
    this.recoverySummary = RecoverySummary.of(recovered, log.truncatedBytes(), log.syncedBytes());
  }

  /**
   * Opens or creates a data folder. All that it recovers is durable on return, also if an earlier
   * process ended before it could sync it.
   *
   * @param newIncarnation random incarnation, used only if the folder is new
   * @param maximumBytes maximum size of the folder in bytes, {@link Long#MAX_VALUE} for no limit
   * @throws TrestleException with {@link ErrorCode#FILE_ACCESS} if the folder is locked or cannot
   *     be used, with {@link ErrorCode#DATA_CORRUPTED} if its content is damaged: the replica must
   *     then join the group with a new identity and an empty folder
   */
  public static FileReplicaStorage open(
      Path folder, InstanceId instance, long newIncarnation, long maximumBytes) {
    return open(new LocalFiles(folder), instance, newIncarnation, maximumBytes);
  }

  static FileReplicaStorage open(
      FileOperations operations, InstanceId instance, long newIncarnation, long maximumBytes) {
    Closeable lock = null;
    boolean opened = false;
    try {
      DurableFiles files = new DurableFiles(operations, maximumBytes);
      files.prepare();
      lock = files.lock(LOCK_FILE);
      ReplicaId identity = loadIdentity(files, new ReplicaId(instance, newIncarnation));
      FileReplicaStorage storage =
          new FileReplicaStorage(files, lock, identity, new SegmentedLog(files));
      opened = true;
      return storage;
    } catch (IOException e) {
      throw fileAccessException("cannot open " + operations, e);
    } finally {
      if (!opened) {
        closeQuietly(lock);
      }
    }
  }

  /**
   * Opens a data folder again after a storage of this process failed. Checks first that it accepts
   * writes, so that a disk that stays full costs no reading. Files whose last write may have failed
   * are written anew, because a failed sync may leave data that can be read but is not on the disk.
   *
   * @throws TrestleException as {@link #open}
   */
  public static FileReplicaStorage reopen(
      Path folder, InstanceId instance, long newIncarnation, long maximumBytes) {
    return reopen(new LocalFiles(folder), instance, newIncarnation, maximumBytes);
  }

  static FileReplicaStorage reopen(
      FileOperations operations, InstanceId instance, long newIncarnation, long maximumBytes) {
    try {
      DurableFiles files = new DurableFiles(operations, maximumBytes);
      files.prepare();
      files.checkAcceptsWrites(SegmentedLog.lastSegmentBytes(files) + REOPEN_FREE_BYTES);
    } catch (IOException e) {
      throw fileAccessException("cannot write to " + operations, e);
    }
    FileReplicaStorage storage = open(operations, instance, newIncarnation, maximumBytes);
    try {
      storage.rewriteLatest();
      return storage;
    } catch (IOException e) {
      storage.close();
      throw fileAccessException("cannot write to " + operations, e);
    }
  }

  @Override
  public ReplicaId identity() {
    return identity;
  }

  @Override
  public RecoveredState recovered() {
    return recovered;
  }

  @Override
  public void releaseRecovered() {
    recovered = RecoveredState.empty();
  }

  @Override
  public RecoverySummary recoverySummary() {
    return recoverySummary;
  }

  @Override
  public void saveHardState(HardState state) {
    pendingHardState = state;
  }

  @Override
  public void append(List<LogEntry> entries) {
    pendingEntries.addAll(entries);
  }

  @Override
  public void saveSnapshot(Snapshot snapshot, StoredEntries entries, long firstRetainedIndex) {
    runUnlessFailed(
        () -> {
          writePending();
          files.replace(snapshotName(snapshot.index()), StorageCodec.encodeSnapshot(snapshot));
          if (entries == StoredEntries.DISCARD) {
            log.discard();
          } else {
            log.prune(firstRetainedIndex);
          }
          deleteOldSnapshots(snapshot.index());
        });
  }

  @Override
  public void sync() {
    runUnlessFailed(this::writePending);
  }

  @Override
  public void close() {
    try {
      log.close();
    } catch (IOException e) {
      throw fileAccessException("cannot close the log", e);
    } finally {
      closeQuietly(lock);
    }
  }

  private static ReplicaId loadIdentity(DurableFiles files, ReplicaId newIdentity)
      throws IOException {
    if (!files.names(IDENTITY_FILE, "").isEmpty()) {
      ReplicaId stored = StorageCodec.decodeIdentity(files.read(IDENTITY_FILE));
      if (!stored.instance().equals(newIdentity.instance())) {
        throw new TrestleException(
            ErrorCode.DATA_CORRUPTED,
            "the data folder belongs to " + stored.instance() + ", not " + newIdentity.instance());
      }
      return stored;
    }
    if (files.names("", "").size() > 1) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "the data folder holds files but no identity");
    }
    // Before the identity exists nothing counts as stored, and afterwards the folder is durable.
    files.syncParent();
    files.replace(IDENTITY_FILE, StorageCodec.encodeIdentity(newIdentity));
    return newIdentity;
  }

  private RecoveredState recover() throws IOException {
    List<String> snapshots = files.names(SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX);
    Snapshot snapshot =
        snapshots.isEmpty()
            ? null
            : StorageCodec.decodeSnapshot(files.read(snapshots.get(snapshots.size() - 1)));
    List<LogEntry> entries = log.open(snapshot);
    if (!files.names(HARD_STATE_FILE, "").isEmpty()) {
      HardState hardState = StorageCodec.decodeHardState(files.read(HARD_STATE_FILE));
      return new RecoveredState(hardState, snapshot, entries);
    }
    if (snapshot != null || !entries.isEmpty()) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "the data folder holds a log but no term and vote");
    }
    return RecoveredState.empty();
  }

  private void rewriteLatest() throws IOException {
    log.rewriteLastSegment();
    files.replace(HARD_STATE_FILE, StorageCodec.encodeHardState(recovered.hardState()));
  }

  private void writePending() throws IOException {
    if (pendingHardState != null) {
      files.replace(HARD_STATE_FILE, StorageCodec.encodeHardState(pendingHardState));
      pendingHardState = null;
    }
    if (!pendingEntries.isEmpty()) {
      log.append(pendingEntries);
      pendingEntries.clear();
    }
  }

  private void deleteOldSnapshots(long latestIndex) throws IOException {
    String latest = snapshotName(latestIndex);
    for (String name : files.names(SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)) {
      if (name.compareTo(latest) < 0) {
        files.delete(name);
      }
    }
  }

  private static String snapshotName(long index) {
    return String.format(Locale.ROOT, "%s%020d%s", SNAPSHOT_PREFIX, index, SNAPSHOT_SUFFIX);
  }

  private void runUnlessFailed(FileOperation operation) {
    if (failed) {
      throw new TrestleException(ErrorCode.CLOSED, "the storage was closed by an earlier failure");
    }
    try {
      operation.run();
    } catch (IOException e) {
      failed = true;
      throw fileAccessException("cannot write to the data folder", e);
    }
  }

  private static TrestleException fileAccessException(String message, IOException cause) {
    return new TrestleException(ErrorCode.FILE_ACCESS, message + ": " + cause.getMessage(), cause);
  }

  private static void closeQuietly(@Nullable Closeable lock) {
    if (lock == null) {
      return;
    }
    try {
      lock.close();
    } catch (IOException e) {
      // The lock is released when the process exits, and the data is already synced.
      return;
    }
  }
}
