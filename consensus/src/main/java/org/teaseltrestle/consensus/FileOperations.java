package org.teaseltrestle.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Operations on the files of one folder. Their effects survive the end of the process at once, but
 * a loss of power only after a sync: of the file for its content, of the folder for the names of
 * created, renamed and deleted files.
 */
interface FileOperations {

  /** How a file is opened. */
  enum OpenMode {
    /** Fails if the file does not exist. */
    EXISTING,
    /** Fails if the file exists. */
    NEW,
    /** Creates the file or removes its content. */
    EMPTY
  }

  /** File that is open for writing, from its start on. */
  interface OpenFile extends Closeable {

    void write(ByteBuffer bytes) throws IOException;

    void truncate(long size) throws IOException;

    long size() throws IOException;

    void sync() throws IOException;
  }

  /** Creates the folder unless it exists. */
  void createFolder() throws IOException;

  /** Syncs the parent of the folder, and with it the name of the folder. */
  void syncParent() throws IOException;

  /** Syncs the names of the files. */
  void syncFolder() throws IOException;

  /**
   * Locks the folder against other processes until the result is closed.
   *
   * @throws IOException if it is locked already
   */
  Closeable lock(String name) throws IOException;

  /** Returns the names of all files, sorted. */
  List<String> names() throws IOException;

  long size(String name) throws IOException;

  byte[] read(String name) throws IOException;

  OpenFile open(String name, OpenMode mode) throws IOException;

  /** Replaces the target if it exists. */
  void rename(String name, String target) throws IOException;

  void delete(String name) throws IOException;
}
