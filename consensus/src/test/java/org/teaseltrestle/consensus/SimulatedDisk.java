package org.teaseltrestle.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Disk with one folder. A kill keeps everything that was written; a loss of power keeps what was
 * synced, and each later change of a file, a name or the folder is kept, lost or torn on its own.
 */
final class SimulatedDisk implements FileOperations {

  private static final int SECTOR_BYTES = 512;

  /** What a sync makes durable. */
  enum SyncTarget {
    FILE,
    NAMES,
    FOLDER
  }

  /** Ends the simulated process in the middle of an operation. */
  static final class Killed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Killed() {
      super("killed", null, false, false);
    }
  }

  /** Change of a file that is not synced; a truncation has no bytes. */
  private record Change(int position, byte @Nullable [] bytes) {}

  private static final class Content {
    byte[] written = new byte[0];
    byte[] durable = new byte[0];
    List<Change> changes = new ArrayList<>();

    /** Whether a sync failed, after which later ones succeed without an effect. */
    boolean syncFailed;
  }

  /**
   * Change of names that is not synced: a file gets a name, or none, and loses its previous one.
   */
  private record NameChange(@Nullable String previous, @Nullable String name, Content content) {}

  private final Random random;
  private final Map<String, Content> written = new TreeMap<>();
  private final Map<String, Content> durable = new TreeMap<>();
  private final List<NameChange> nameChanges = new ArrayList<>();
  private boolean folderWritten;
  private boolean folderDurable;
  private boolean locked;
  private @Nullable SyncTarget ignoredSyncs;
  private int operationsUntilKill = Integer.MAX_VALUE;
  private int operationsUntilRefusal;
  private int refusedOperations;
  private int reads;

  SimulatedDisk(Random random) {
    this.random = random;
  }

  /** Kills the process during one of its next operations. */
  void killAfter(int operations) {
    operationsUntilKill = operations;
  }

  /** Refuses some changes and syncs, as a full disk does, after others were accepted. */
  void refuseAfter(int accepted, int refused) {
    operationsUntilRefusal = accepted;
    refusedOperations = refused;
  }

  /** Returns how many files were read. */
  int reads() {
    return reads;
  }

  /** Gives syncs of a target no effect, as if the process left them out. */
  void ignoreSyncs(@Nullable SyncTarget target) {
    ignoredSyncs = target;
  }

  /** Ends the process; its files stay as they are, and another process can sync them. */
  void kill() {
    locked = false;
    written.values().forEach(content -> content.syncFailed = false);
    operationsUntilKill = Integer.MAX_VALUE;
    refusedOperations = 0;
  }

  /** Ends the process and keeps, loses or tears each change that is not synced. */
  void losePower() {
    kill();
    boolean allLost = random.nextInt(4) == 0;
    for (NameChange change : nameChanges) {
      if (!allLost && random.nextBoolean()) {
        apply(change, durable);
      }
    }
    nameChanges.clear();
    if (!folderDurable && (allLost || random.nextBoolean())) {
      folderWritten = false;
      durable.clear();
    }
    folderDurable = folderWritten;
    written.clear();
    written.putAll(durable);
    written.values().forEach(content -> loseChanges(content, allLost));
  }

  @Override
  public void createFolder() {
    if (!folderWritten) {
      change(() -> folderWritten = true);
    }
  }

  @Override
  public void syncParent() throws IOException {
    sync(SyncTarget.FOLDER, () -> folderDurable = folderWritten);
  }

  @Override
  public void syncFolder() throws IOException {
    sync(
        SyncTarget.NAMES,
        () -> {
          nameChanges.clear();
          durable.clear();
          durable.putAll(written);
        });
  }

  @Override
  public Closeable lock(String name) throws IOException {
    if (locked) {
      throw new IOException("locked");
    }
    if (!written.containsKey(name)) {
      changeName(null, name, new Content());
    }
    locked = true;
    return () -> locked = false;
  }

  @Override
  public List<String> names() {
    return List.copyOf(written.keySet());
  }

  @Override
  public long size(String name) throws IOException {
    return find(name).written.length;
  }

  @Override
  public byte[] read(String name) throws IOException {
    reads++;
    return find(name).written.clone();
  }

  @Override
  public OpenFile open(String name, OpenMode mode) throws IOException {
    refuseIfFull();
    if (mode != OpenMode.EXISTING && !written.containsKey(name)) {
      changeName(null, name, new Content());
    } else if (mode == OpenMode.NEW) {
      throw new IOException(name + " exists");
    }
    SimulatedFile file = new SimulatedFile(find(name));
    if (mode == OpenMode.EMPTY) {
      file.truncate(0);
    }
    return file;
  }

  @Override
  public void rename(String name, String target) throws IOException {
    refuseIfFull();
    changeName(name, target, find(name));
  }

  @Override
  public void delete(String name) throws IOException {
    changeName(name, null, find(name));
  }

  @Override
  public String toString() {
    return "the simulated disk";
  }

  private Content find(String name) throws IOException {
    Content content = written.get(name);
    if (content == null) {
      throw new IOException(name + " does not exist");
    }
    return content;
  }

  private void changeName(@Nullable String previous, @Nullable String name, Content content) {
    NameChange change = new NameChange(previous, name, content);
    change(
        () -> {
          apply(change, written);
          nameChanges.add(change);
        });
  }

  private static void apply(NameChange change, Map<String, Content> names) {
    if (change.previous() != null) {
      names.remove(change.previous(), change.content());
    }
    if (change.name() != null) {
      names.put(change.name(), change.content());
    }
  }

  private void change(Runnable effect) {
    if (--operationsUntilKill < 0) {
      if (random.nextBoolean()) {
        effect.run();
      }
      throw new Killed();
    }
    effect.run();
  }

  private void sync(SyncTarget target, Runnable effect) throws IOException {
    refuseIfFull();
    change(target == ignoredSyncs ? () -> {} : effect);
  }

  private void refuseIfFull() throws IOException {
    if (refusedOperations > 0 && --operationsUntilRefusal < 0) {
      refusedOperations--;
      throw new IOException("the simulated disk is full");
    }
  }

  private void loseChanges(Content content, boolean all) {
    byte[] kept = content.durable;
    for (Change change : content.changes) {
      if (!all) {
        switch (random.nextInt(3)) {
          case 0 -> kept = applied(change, kept);
          case 1 -> kept = torn(change, kept);
          default -> {
            // The change is lost.
          }
        }
      }
    }
    content.changes.clear();
    content.syncFailed = false;
    content.durable = kept;
    content.written = kept;
  }

  private static byte[] applied(Change change, byte[] content) {
    byte[] bytes = change.bytes();
    if (bytes == null) {
      return Arrays.copyOf(content, change.position());
    }
    byte[] changed =
        Arrays.copyOf(content, Math.max(content.length, change.position() + bytes.length));
    System.arraycopy(bytes, 0, changed, change.position(), bytes.length);
    return changed;
  }

  /** Keeps the first bytes of a write, or some of its sectors; the others are absent or zeros. */
  private byte[] torn(Change change, byte[] content) {
    byte[] bytes = change.bytes();
    if (bytes == null || bytes.length == 0) {
      return content;
    }
    if (random.nextBoolean()) {
      byte[] first = Arrays.copyOf(bytes, random.nextInt(bytes.length));
      if (random.nextBoolean()) {
        first = Arrays.copyOf(first, bytes.length);
      }
      return applied(new Change(change.position(), first), content);
    }
    byte[] sectors = bytes.clone();
    int start = change.position();
    while (start < change.position() + bytes.length) {
      int end =
          Math.min(change.position() + bytes.length, (start / SECTOR_BYTES + 1) * SECTOR_BYTES);
      if (random.nextBoolean()) {
        Arrays.fill(sectors, start - change.position(), end - change.position(), (byte) 0);
      }
      start = end;
    }
    return applied(new Change(change.position(), sectors), content);
  }

  private final class SimulatedFile implements OpenFile {

    private final Content content;
    private int position;

    SimulatedFile(Content content) {
      this.content = content;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      refuseIfFull();
      byte[] added = new byte[bytes.remaining()];
      bytes.get(added);
      change(() -> add(new Change(position, added)));
      position += added.length;
    }

    @Override
    public void truncate(long size) throws IOException {
      refuseIfFull();
      change(() -> add(new Change((int) size, null)));
    }

    @Override
    public long size() {
      return content.written.length;
    }

    @Override
    public void sync() throws IOException {
      try {
        SimulatedDisk.this.sync(SyncTarget.FILE, this::storeUnlessFailed);
      } catch (IOException e) {
        content.syncFailed = true;
        throw e;
      }
    }

    @Override
    public void close() {
      // Closing a file changes nothing on a disk.
    }

    private void storeUnlessFailed() {
      if (!content.syncFailed) {
        content.durable = content.written;
        content.changes.clear();
      }
    }

    private void add(Change change) {
      content.written = applied(change, content.written);
      content.changes.add(change);
    }
  }
}
