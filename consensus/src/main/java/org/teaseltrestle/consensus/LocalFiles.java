package org.teaseltrestle.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Files of a folder of the local file system. */
final class LocalFiles implements FileOperations {

  private final Path folder;

  LocalFiles(Path folder) {
    this.folder = folder.toAbsolutePath();
  }

  @Override
  public void createFolder() throws IOException {
    if (!Files.isDirectory(folder)) {
      Files.createDirectories(folder);
    }
  }

  @Override
  public void syncParent() throws IOException {
    Path parent = folder.getParent();
    if (parent != null) {
      sync(parent);
    }
  }

  @Override
  public void syncFolder() throws IOException {
    sync(folder);
  }

  @Override
  public Closeable lock(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      throw new IOException("the data folder is in use by this process", e);
    } finally {
      if (lock == null) {
        channel.close();
      }
    }
    if (lock == null) {
      throw new IOException("the data folder is in use by another process");
    }
    return channel;
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    }
  }

  @Override
  public long size(String name) throws IOException {
    return Files.size(folder.resolve(name));
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public OpenFile open(String name, OpenMode mode) throws IOException {
    return new LocalFile(FileChannel.open(folder.resolve(name), options(mode)));
  }

  @Override
  public void rename(String name, String target) throws IOException {
    Files.move(folder.resolve(name), folder.resolve(target), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public String toString() {
    return "the data folder " + folder;
  }

  private static Set<StandardOpenOption> options(OpenMode mode) {
    return switch (mode) {
      case EXISTING -> Set.of(StandardOpenOption.WRITE);
      case NEW -> Set.of(StandardOpenOption.WRITE, StandardOpenOption.CREATE_NEW);
      case EMPTY ->
          Set.of(
              StandardOpenOption.WRITE,
              StandardOpenOption.CREATE,
              StandardOpenOption.TRUNCATE_EXISTING);
    };
  }

  private static void sync(Path path) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record LocalFile(FileChannel channel) implements OpenFile {

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void sync() throws IOException {
      channel.force(true);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
