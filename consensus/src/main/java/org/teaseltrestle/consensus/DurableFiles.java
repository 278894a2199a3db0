package org.teaseltrestle.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.teaseltrestle.consensus.FileOperations.OpenFile;
import org.teaseltrestle.consensus.FileOperations.OpenMode;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Durable operations on the files of one folder. Creating, replacing and appending are durable on
 * return; a deletion is durable after {@link #syncNames}.
 */
final class DurableFiles {

  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final String CHECK_FILE = "space-check" + TEMPORARY_SUFFIX;
  private static final int CHECK_WRITE_BYTES = 64 * 1024;

  private final FileOperations operations;
  private final long maximumBytes;

  DurableFiles(FileOperations operations, long maximumBytes) {
    this.operations = operations;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Creates the folder, makes its names durable as a process may have left them that ended between
   * a change and its sync, and deletes temporary files of interrupted replacements.
   */
  void prepare() throws IOException {
    operations.createFolder();
    operations.syncFolder();
    for (String name : names("", TEMPORARY_SUFFIX)) {
      operations.delete(name);
    }
  }

  /** Locks the folder against other processes until the result is closed. */
  Closeable lock(String name) throws IOException {
    return operations.lock(name);
  }

  /** Returns the sorted names of files with a prefix and a suffix. */
  List<String> names(String prefix, String suffix) throws IOException {
    return operations.names().stream()
        .filter(name -> name.startsWith(prefix) && name.endsWith(suffix))
        .toList();
  }

  /** Replaces a file atomically: a crash leaves either the old or the new content. */
  void replace(String name, byte[] payload) throws IOException {
    replaceContent(name, RecordFormat.encode(payload));
  }

  /** Replaces a file atomically by content that is already encoded. */
  void replaceContent(String name, ByteBuffer content) throws IOException {
    String temporary = name + TEMPORARY_SUFFIX;
    checkSpace(content.remaining());
    try (OpenFile file = operations.open(temporary, OpenMode.EMPTY)) {
      file.write(content);
      file.sync();
    }
    operations.rename(temporary, name);
    operations.syncFolder();
  }

  OpenFile create(String name) throws IOException {
    OpenFile file = operations.open(name, OpenMode.NEW);
    operations.syncFolder();
    return file;
  }

  void append(OpenFile file, ByteBuffer record) throws IOException {
    checkSpace(record.remaining());
    file.write(record);
    file.sync();
  }

  void truncate(String name, long size) throws IOException {
    try (OpenFile file = operations.open(name, OpenMode.EXISTING)) {
      file.truncate(size);
      file.sync();
    }
  }

  void delete(String name) throws IOException {
    operations.delete(name);
  }

  void syncContent(String name) throws IOException {
    try (OpenFile file = operations.open(name, OpenMode.EXISTING)) {
      file.sync();
    }
  }

  void syncNames() throws IOException {
    operations.syncFolder();
  }

  /**
   * Writes, syncs and deletes a file of a size; fails if the disk does not accept that. What a
   * failure leaves is deleted by {@link #prepare}.
   */
  void checkAcceptsWrites(long bytes) throws IOException {
    checkSpace(bytes);
    try (OpenFile file = operations.open(CHECK_FILE, OpenMode.EMPTY)) {
      ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(bytes, CHECK_WRITE_BYTES));
      for (long left = bytes; left > 0; left -= zeros.limit()) {
        zeros.clear().limit((int) Math.min(left, CHECK_WRITE_BYTES));
        file.write(zeros);
      }
      file.sync();
    }
    operations.delete(CHECK_FILE);
  }

  /** Makes the name of the folder itself durable. */
  void syncParent() throws IOException {
    operations.syncParent();
  }

  /** Reads a file written by {@link #replace}. */
  byte[] read(String name) throws IOException {
    RecordFormat.Scan scan = RecordFormat.scan(name, ByteBuffer.wrap(readAll(name)));
    if (scan.payloads().size() != 1) {
      throw new TrestleException(ErrorCode.DATA_CORRUPTED, name + " does not hold one record");
    }
    return scan.payloads().get(0);
  }

  long size(String name) throws IOException {
    return operations.size(name);
  }

  byte[] readAll(String name) throws IOException {
    return operations.read(name);
  }

  private void checkSpace(long bytes) throws IOException {
    if (maximumBytes == Long.MAX_VALUE) {
      return;
    }
    long used = 0;
    for (String name : operations.names()) {
      used += operations.size(name);
    }
    if (used + bytes > maximumBytes) {
      throw new IOException("the data folder would exceed its limit of " + maximumBytes + " bytes");
    }
  }
}
