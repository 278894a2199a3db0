package org.teaseltrestle.testkit.fakes;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Ports that the test kits running on this machine have chosen for programs that open them later. A
 * port is reserved by a lock on a file, which ends with the process that holds it.
 */
final class PortReservations {

  private final Path folder;
  private final Map<Integer, FileChannel> reserved = new HashMap<>();

  PortReservations(Path folder) {
    this.folder = folder;
  }

  /** Reserves a port; returns false if this or another test kit has reserved it. */
  synchronized boolean reserve(int port) {
    if (reserved.containsKey(port)) {
      return false;
    }
    FileChannel locked = lock(folder.resolve(Integer.toString(port)));
    if (locked == null) {
      return false;
    }
    reserved.put(port, locked);
    return true;
  }

  /** Ends a reservation. */
  synchronized void release(int port) {
    FileChannel locked = reserved.remove(port);
    if (locked != null) {
      close(locked);
    }
  }

  private @Nullable FileChannel lock(Path file) {
    try {
      Files.createDirectories(folder);
      FileChannel channel =
          FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      try {
        if (channel.tryLock() != null) {
          return channel;
        }
      } catch (OverlappingFileLockException e) {
        // Another object of this process holds the lock; handled like one of another process.
      }
      close(channel);
      return null;
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "port file " + file + " is unusable", e);
    }
  }

  private static void close(FileChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "port file cannot be closed", e);
    }
  }
}
