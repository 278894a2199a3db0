package org.teaseltrestle.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.FileOperations.OpenFile;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Log in numbered, append-only segment files. An appended entry replaces a stored entry of the same
 * index and all later ones, so a conflict needs no rewriting. A record without entries discards all
 * entries before it.
 */
final class SegmentedLog {

  private static final String PREFIX = "log-";
  private static final String SUFFIX = ".segment";
  private static final long SEGMENT_BYTES = 4L * 1024 * 1024;

  private final DurableFiles files;
  private final List<Segment> segments = new ArrayList<>();
  private @Nullable OpenFile file;
  private long nextNumber;
  private long truncatedBytes;

  /** Whether the next segment begins with a record that discards all entries before it. */
  private boolean discardsEarlier;

  private long syncedBytes;

  private static final class Segment {
    final String name;
    long lastIndex;

    Segment(String name) {
      this.name = name;
    }
  }

  SegmentedLog(DurableFiles files) {
    this.files = files;
  }

  /** Returns the size in bytes of the last segment, without reading it; 0 if there is none. */
  static long lastSegmentBytes(DurableFiles files) throws IOException {
    List<String> names = files.names(PREFIX, SUFFIX);
    return names.isEmpty() ? 0 : files.size(names.get(names.size() - 1));
  }

  /**
   * Reads the entries after the snapshot, truncates an incomplete last record and makes the last
   * segment durable: a process that was killed may not have synced its last record. Earlier
   * segments are durable, because a segment is created only after the previous one was synced.
   *
   * <p>The sync covers what was written but not synced. It need not cover a write whose sync has
   * failed, after which a storage is opened by {@link FileReplicaStorage#reopen}; if the process is
   * killed before that, the last record may be read here although the disk did not store it.
   */
  List<LogEntry> open(@Nullable Snapshot snapshot) throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    List<String> names = files.names(PREFIX, SUFFIX);
    for (String name : names) {
      boolean last = name.equals(names.get(names.size() - 1));
      readSegment(name, last, entries);
      nextNumber = Long.parseLong(name.substring(PREFIX.length(), name.indexOf('.'))) + 1;
    }
    if (!names.isEmpty()) {
      String last = names.get(names.size() - 1);
      files.syncContent(last);
      syncedBytes = files.size(last);
    }
    checkNoGap(entries, snapshot);
    List<LogEntry> usable = usableEntries(entries, snapshot);
    discardsEarlier = usable.isEmpty() && !names.isEmpty();
    return usable;
  }

  /** Returns the size of the incomplete record that {@link #open} cut off. */
  long truncatedBytes() {
    return truncatedBytes;
  }

  /** Returns the size of the segment that {@link #open} made durable. */
  long syncedBytes() {
    return syncedBytes;
  }

  void append(List<LogEntry> entries) throws IOException {
    OpenFile current = file;
    if (current == null) {
      String name = String.format(Locale.ROOT, "%s%020d%s", PREFIX, nextNumber++, SUFFIX);
      current = files.create(name);
      file = current;
      segments.add(new Segment(name));
      if (discardsEarlier) {
        writeRecord(current, List.of());
        discardsEarlier = false;
      }
    }
    writeRecord(current, entries);
    Segment segment = segments.get(segments.size() - 1);
    entries.forEach(entry -> segment.lastIndex = Math.max(segment.lastIndex, entry.index()));
    if (current.size() > SEGMENT_BYTES) {
      closeSegment();
    }
  }

  /** Deletes the segments that hold only entries before an index. */
  void prune(long firstRetainedIndex) throws IOException {
    closeSegment();
    while (!segments.isEmpty() && segments.get(0).lastIndex < firstRetainedIndex) {
      files.delete(segments.remove(0).name);
      // A later segment may have replaced entries of this one, so it must not be gone first.
      files.syncNames();
    }
  }

  /**
   * Discards all entries and deletes their segments. The record that discards them is durable
   * first, because a crash may leave any of the segments, and with them entries that deleted
   * segments had replaced.
   */
  void discard() throws IOException {
    closeSegment();
    List<Segment> discarded = new ArrayList<>(segments);
    if (discarded.isEmpty()) {
      return;
    }
    append(List.of());
    segments.removeAll(discarded);
    for (Segment segment : discarded) {
      files.delete(segment.name);
    }
    files.syncNames();
  }

  /** Writes the last segment anew, so that all entries that it holds are durable. */
  void rewriteLastSegment() throws IOException {
    closeSegment();
    if (!segments.isEmpty()) {
      String name = segments.get(segments.size() - 1).name;
      files.replaceContent(name, ByteBuffer.wrap(files.readAll(name)));
    }
  }

  void close() throws IOException {
    closeSegment();
  }

  private void writeRecord(OpenFile target, List<LogEntry> entries) throws IOException {
    files.append(target, RecordFormat.encode(StorageCodec.encodeEntries(entries)));
  }

  private void closeSegment() throws IOException {
    if (file != null) {
      file.close();
      file = null;
    }
  }

  private void readSegment(String name, boolean last, List<LogEntry> entries) throws IOException {
    byte[] content = files.readAll(name);
    RecordFormat.Scan scan = RecordFormat.scan(name, ByteBuffer.wrap(content));
    if (scan.validBytes() < content.length) {
      if (!last) {
        throw new TrestleException(
            ErrorCode.DATA_CORRUPTED,
            name + " ends in an incomplete record but is not the last segment");
      }
      files.truncate(name, scan.validBytes());
      truncatedBytes += content.length - scan.validBytes();
    }
    Segment segment = new Segment(name);
    segments.add(segment);
    for (byte[] payload : scan.payloads()) {
      List<LogEntry> added = StorageCodec.decodeEntries(payload);
      if (added.isEmpty()) {
        entries.clear();
      }
      for (LogEntry entry : added) {
        segment.lastIndex = Math.max(segment.lastIndex, entry.index());
        addEntry(entries, entry);
      }
    }
  }

  private static void addEntry(List<LogEntry> entries, LogEntry entry) {
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    boolean follows =
        !entries.isEmpty() && entries.get(entries.size() - 1).index() == entry.index() - 1;
    if (!follows) {
      entries.clear();
    }
    entries.add(entry);
  }

  /** Checks that the snapshot covers all entries before the first one. */
  private static void checkNoGap(List<LogEntry> entries, @Nullable Snapshot snapshot) {
    long covered = snapshot == null ? 0 : snapshot.index();
    if (!entries.isEmpty() && entries.get(0).index() > covered + 1) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "the log has a gap before entry " + entries.get(0).index());
    }
  }

  private static List<LogEntry> usableEntries(List<LogEntry> entries, @Nullable Snapshot snapshot) {
    if (snapshot == null) {
      return entries;
    }
    boolean conflicts =
        entries.stream()
            .anyMatch(
                entry -> entry.index() == snapshot.index() && entry.term() != snapshot.term());
    return conflicts
        ? List.of()
        : entries.stream().filter(entry -> entry.index() > snapshot.index()).toList();
  }
}
