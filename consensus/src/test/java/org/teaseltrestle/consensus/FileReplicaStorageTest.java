package org.teaseltrestle.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the files of a replica. */
public final class FileReplicaStorageTest {

  private static final InstanceId INSTANCE = new InstanceId("voter-1");
  private static final ReplicaId IDENTITY = new ReplicaId(INSTANCE, 7);
  private static final Configuration VOTERS = new Configuration(List.of(IDENTITY), List.of());

  private static FileReplicaStorage open(Path folder, long maximumBytes) {
    return FileReplicaStorage.open(folder, INSTANCE, 7, maximumBytes);
  }

  private static FileReplicaStorage open(Path folder) {
    return open(folder, Long.MAX_VALUE);
  }

  private static List<LogEntry> entries(long term, long first, long last) {
    return LongStream.rangeClosed(first, last)
        .mapToObj(
            i ->
                new LogEntry(
                    i, term, EntryKind.COMMAND, ("command " + i).getBytes(StandardCharsets.UTF_8)))
        .toList();
  }

  private static void fill(Path folder, long last) {
    try (FileReplicaStorage storage = open(folder)) {
      storage.saveHardState(new HardState(1, IDENTITY));
      for (long i = 1; i <= last; i++) {
        storage.append(entries(1, i, i));
        storage.sync();
      }
    }
  }

  private static List<Long> indexes(RecoveredState state) {
    return state.entries().stream().map(LogEntry::index).toList();
  }

  private static Path segment(Path folder) {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(f -> f.toString().endsWith(".segment")).sorted().toList().get(0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static ErrorCode openFailure(Path folder) {
    return expectThrows(TrestleException.class, () -> open(folder).close()).code();
  }

  /** Provides a new folder to each test method. */
  public abstract static class FolderTest {

    Path folder = Path.of(".");

    /** Chooses a folder that does not exist yet. */
    @BeforeMethod
    public void createFolder() throws IOException {
      folder = Files.createTempDirectory("replica").resolve("data");
    }
  }

  /** Guards against a restart that recovers another state than was stored. */
  public static final class RestartTest extends FolderTest {

    @Test
    public void recoversTermVoteAndReplacedEntries() {
      fill(folder, 5);
      try (FileReplicaStorage storage = open(folder)) {
        storage.saveHardState(new HardState(2, null));
        storage.append(entries(2, 4, 6));
        storage.sync();
        storage.append(entries(2, 7, 9));
      }
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(storage.identity(), IDENTITY);
        assertEquals(storage.recovered().hardState(), new HardState(2, null));
        assertEquals(indexes(storage.recovered()), List.of(1L, 2L, 3L, 4L, 5L, 6L));
        assertEquals(storage.recovered().entries().get(3).term(), 2);
      }
    }

    @Test
    public void recoversSnapshotAndLaterEntriesAndPrunesSegments() throws IOException {
      fill(folder, 20);
      Snapshot snapshot = new Snapshot(18, 1, VOTERS, new byte[] {1, 2, 3});
      try (FileReplicaStorage storage = open(folder)) {
        storage.saveSnapshot(snapshot, StoredEntries.PRUNE, 19);
        storage.append(entries(1, 21, 22));
        storage.saveSnapshot(new Snapshot(21, 1, VOTERS, new byte[] {4}), StoredEntries.PRUNE, 22);
      }
      try (FileReplicaStorage storage = open(folder);
          Stream<Path> files = Files.list(folder)) {
        Snapshot found = storage.recovered().snapshot();
        assertTrue(found != null && found.index() == 21 && found.configuration().equals(VOTERS));
        assertEquals(indexes(storage.recovered()), List.of(22L));
        assertEquals(files.filter(f -> f.toString().endsWith(".segment")).count(), 1);
      }
    }

    @Test
    public void discardsEntriesThatConflictWithInstalledSnapshot() {
      fill(folder, 9);
      Snapshot snapshot = new Snapshot(7, 3, VOTERS, new byte[0]);
      try (FileReplicaStorage storage = open(folder)) {
        storage.saveSnapshot(snapshot, StoredEntries.DISCARD, 8);
        storage.append(entries(3, 8, 8));
        storage.sync();
      }
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(indexes(storage.recovered()), List.of(8L));
      }
    }
  }

  /** Guards against a crash during a write that makes a replica reject its intact state. */
  public static final class IncompleteRecordTest extends FolderTest {

    @DataProvider
    private static Object[][] zeros() {
      return new Object[][] {{false}, {true}};
    }

    /** Guards against a write that was cut short, or continued by zeros, being taken for damage. */
    @Test(dataProvider = "zeros")
    public void isTruncatedAtEveryLength(boolean zeros) throws IOException {
      fill(folder, 2);
      Path file = segment(folder);
      int synced = (int) Files.size(file);
      fill(folder, 0);
      try (FileReplicaStorage storage = open(folder)) {
        storage.append(entries(1, 3, 3));
        storage.sync();
      }
      byte[] record = Files.readAllBytes(lastSegment());
      for (int length = 0; length < record.length; length++) {
        byte[] first = Arrays.copyOf(record, length);
        Files.write(lastSegment(), zeros ? Arrays.copyOf(first, record.length) : first);
        try (FileReplicaStorage storage = open(folder)) {
          assertEquals(indexes(storage.recovered()), List.of(1L, 2L), "truncated to " + length);
        }
        assertEquals(Files.size(file), synced);
      }
    }

    /** Guards against a restart whose log event hides what was recovered and cut off. */
    @Test
    public void isReportedWithWhatWasRecovered() throws IOException {
      fill(folder, 6);
      long size = Files.size(segment(folder));
      try (FileReplicaStorage storage = open(folder)) {
        storage.saveSnapshot(new Snapshot(2, 1, VOTERS, new byte[0]), StoredEntries.PRUNE, 1);
        storage.releaseRecovered();
        assertEquals(storage.recoverySummary(), new RecoverySummary(1, 0, 6, 0, size));
      }
      byte[] content = Files.readAllBytes(segment(folder));
      Files.write(segment(folder), Arrays.copyOf(content, content.length + 5));
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(storage.recoverySummary(), new RecoverySummary(1, 2, 6, 5, size));
      }
    }

    @Test
    public void isTruncatedWhereSectorsWereNotWritten() throws IOException {
      fill(folder, 2);
      byte[] content = Files.readAllBytes(segment(folder));
      Files.write(segment(folder), Arrays.copyOf(content, content.length + 1_500));
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(indexes(storage.recovered()), List.of(1L, 2L));
      }
    }

    private Path lastSegment() throws IOException {
      try (Stream<Path> files = Files.list(folder)) {
        return files.filter(f -> f.toString().endsWith(".segment")).sorted().toList().get(1);
      }
    }
  }

  /** Guards against a replica that votes although its state is corrupted. */
  public static final class CorruptionTest extends FolderTest {

    @Test
    public void everyChangedByteIsDetected() throws IOException {
      fill(folder, 4);
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.filter(f -> !f.endsWith("lock")).toList()) {
          byte[] content = Files.readAllBytes(file);
          for (int i = 0; i < content.length; i++) {
            byte[] damaged = content.clone();
            damaged[i] ^= 0x20;
            Files.write(file, damaged);
            assertEquals(openFailure(folder), ErrorCode.DATA_CORRUPTED, file + " at byte " + i);
          }
          Files.write(file, content);
        }
      }
      open(folder).close();
    }

    @Test
    public void missingFileIsDetected() throws IOException {
      fill(folder, 4);
      for (String name : List.of("identity", "hard-state")) {
        Path moved = folder.resolveSibling(name);
        Files.move(folder.resolve(name), moved);
        assertEquals(openFailure(folder), ErrorCode.DATA_CORRUPTED, name);
        Files.move(moved, folder.resolve(name));
      }
    }
  }

  /** Guards against a replica that continues when its disk is full or its folder is shared. */
  public static final class UnusableDiskTest extends FolderTest {

    @Test
    public void fullDiskPreventsFurtherUse() {
      fill(folder, 3);
      try (FileReplicaStorage storage = open(folder, 400)) {
        storage.append(entries(1, 4, 40));
        TrestleException full = expectThrows(TrestleException.class, storage::sync);
        assertEquals(full.code(), ErrorCode.FILE_ACCESS);
        assertEquals(expectThrows(TrestleException.class, storage::sync).code(), ErrorCode.CLOSED);
      }
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(indexes(storage.recovered()), List.of(1L, 2L, 3L));
      }
    }

    /** Guards against a replica that stays unusable after its disk accepts writes again. */
    @Test
    public void reopensOnceTheDiskAcceptsWrites() {
      fill(folder, 3);
      try (FileReplicaStorage storage = open(folder, 400)) {
        storage.append(entries(1, 4, 40));
        expectThrows(TrestleException.class, storage::sync);
      }
      TrestleException full = expectThrows(TrestleException.class, () -> reopen(folder, 100));
      assertEquals(full.code(), ErrorCode.FILE_ACCESS);
      try (FileReplicaStorage storage = reopen(folder, Long.MAX_VALUE)) {
        assertEquals(storage.identity(), IDENTITY);
        assertEquals(indexes(storage.recovered()), List.of(1L, 2L, 3L));
        storage.append(entries(1, 4, 4));
        storage.sync();
      }
      try (FileReplicaStorage storage = open(folder)) {
        assertEquals(storage.recovered().hardState(), new HardState(1, IDENTITY));
        assertEquals(indexes(storage.recovered()), List.of(1L, 2L, 3L, 4L));
      }
    }

    /** Guards against a replica that reads its log without pause while its disk stays full. */
    @Test
    public void nothingIsReadWhileTheDiskIsFull() {
      SimulatedDisk disk = new SimulatedDisk(new Random(1));
      try (FileReplicaStorage storage = FileReplicaStorage.open(disk, INSTANCE, 7, 400)) {
        storage.saveHardState(new HardState(1, IDENTITY));
        storage.append(entries(1, 1, 40));
        expectThrows(TrestleException.class, storage::sync);
      }
      int before = disk.reads();
      for (int attempt = 0; attempt < 100; attempt++) {
        expectThrows(
            TrestleException.class, () -> FileReplicaStorage.reopen(disk, INSTANCE, 7, 400));
      }
      assertEquals(disk.reads(), before);
    }

    /** Guards against a replica that is opened again and again for a few writes each time. */
    @Test
    public void reopenedStorageHasSpaceForManyWrites() {
      fill(folder, 3);
      int limit = 70_000;
      try (FileReplicaStorage storage = reopen(folder, limit)) {
        storage.append(entries(1, 4, 400));
        storage.sync();
      }
      TrestleException full = expectThrows(TrestleException.class, () -> reopen(folder, 65_000));
      assertEquals(full.code(), ErrorCode.FILE_ACCESS);
    }

    private static FileReplicaStorage reopen(Path folder, long maximumBytes) {
      return FileReplicaStorage.reopen(folder, INSTANCE, 7, maximumBytes);
    }

    @Test
    public void lockedFolderIsRejected() {
      FileReplicaStorage first = open(folder);
      assertEquals(openFailure(folder), ErrorCode.FILE_ACCESS);
      first.close();
      open(folder).close();
    }
  }
}
