package org.teaseltrestle.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.RaftAction.StoredEntries;
import org.teaseltrestle.consensus.SimulatedDisk.Killed;
import org.teaseltrestle.consensus.SimulatedDisk.SyncTarget;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/**
 * Random order of writes, syncs, kills, losses of power and starts of one storage. What a sync or a
 * start returned counts as acknowledged: every later start must recover it, with none, some or all
 * of the writes begun since then, in their order.
 */
final class StorageSchedule {

  private static final InstanceId INSTANCE = new InstanceId("voter-1");
  private static final int ROUNDS = 12;
  private static final int MAXIMUM_PAYLOAD_BYTES = 1_500;

  /** State that a storage may recover. */
  private record State(
      @Nullable ReplicaId identity,
      HardState hardState,
      long snapshotIndex,
      long snapshotTerm,
      List<Long> terms) {}

  private final long seed;
  private final Random random;
  private final SimulatedDisk disk;
  private final @Nullable SyncTarget syncsLeftOut;
  private final List<State> possible = new ArrayList<>();
  private final StringBuilder steps = new StringBuilder();
  private long incarnation;
  private long powerLosses;
  private long killedStarts;
  private long refusals;

  /**
   * Creates a schedule.
   *
   * @param syncsLeftOut syncs that each start leaves out, to show that the check detects it
   */
  StorageSchedule(long seed, @Nullable SyncTarget syncsLeftOut) {
    this.seed = seed;
    this.random = new Random(seed);
    this.disk = new SimulatedDisk(random);
    this.syncsLeftOut = syncsLeftOut;
    possible.add(new State(null, HardState.EMPTY, 0, 0, List.of()));
  }

  long powerLosses() {
    return powerLosses;
  }

  long killedStarts() {
    return killedStarts;
  }

  long refusals() {
    return refusals;
  }

  void run() {
    try {
      for (int round = 0; round < ROUNDS; round++) {
        FileReplicaStorage storage = start();
        if (storage != null) {
          writeUntilKilled(storage);
        }
        end(random.nextInt(3) == 0);
      }
      end(true);
      disk.killAfter(Integer.MAX_VALUE);
      check(open());
    } catch (TrestleException | IllegalStateException e) {
      throw new AssertionError("-Dtrestle.seed=" + seed + ": " + e.getMessage() + steps, e);
    }
  }

  private void end(boolean losesPower) {
    if (losesPower) {
      disk.losePower();
      powerLosses++;
    } else {
      disk.kill();
    }
    steps.append(losesPower ? "; power lost" : "; killed");
  }

  private @Nullable FileReplicaStorage start() {
    if (random.nextInt(3) == 0) {
      disk.killAfter(random.nextInt(10));
    }
    // A first start writes and syncs an identity, which is not what is left out.
    boolean first = known().identity() == null;
    disk.ignoreSyncs(first && syncsLeftOut != SyncTarget.FOLDER ? null : syncsLeftOut);
    try {
      FileReplicaStorage storage = open();
      check(storage);
      return storage;
    } catch (Killed e) {
      killedStarts++;
      steps.append("; start");
      return null;
    } finally {
      disk.ignoreSyncs(null);
    }
  }

  private void reopen() {
    FileReplicaStorage storage = null;
    while (storage == null) {
      try {
        storage = FileReplicaStorage.reopen(disk, INSTANCE, ++incarnation, Long.MAX_VALUE);
      } catch (TrestleException e) {
        if (e.code() != ErrorCode.FILE_ACCESS) {
          throw e;
        }
        steps.append("; reopening refused");
      }
    }
    check(storage);
    write(storage);
  }

  private FileReplicaStorage open() {
    return FileReplicaStorage.open(disk, INSTANCE, ++incarnation, Long.MAX_VALUE);
  }

  /** Checks what a start has recovered, which counts as acknowledged from then on. */
  private void check(FileReplicaStorage storage) {
    RecoveredState recovered = storage.recovered();
    Snapshot snapshot = recovered.snapshot();
    State state =
        new State(
            storage.identity(),
            recovered.hardState(),
            snapshot == null ? 0 : snapshot.index(),
            snapshot == null ? 0 : snapshot.term(),
            recovered.entries().stream().map(LogEntry::term).toList());
    steps.append("; start");
    long first = state.snapshotIndex() + 1;
    if (!recovered.entries().isEmpty() && recovered.entries().get(0).index() != first) {
      throw new IllegalStateException("entries do not follow the snapshot");
    }
    boolean expected =
        possible.stream().anyMatch(other -> other.equals(withIdentity(state, other.identity())));
    if (!expected) {
      throw new IllegalStateException("recovered " + state + " but expected one of " + possible);
    }
    acknowledge(state);
  }

  /** A storage that was never opened may still get any identity. */
  private static State withIdentity(State state, @Nullable ReplicaId identity) {
    return identity != null
        ? state
        : new State(
            null, state.hardState(), state.snapshotIndex(), state.snapshotTerm(), state.terms());
  }

  private void acknowledge(State state) {
    possible.clear();
    possible.add(state);
  }

  private State known() {
    return possible.get(possible.size() - 1);
  }

  private void writeUntilKilled(FileReplicaStorage storage) {
    disk.killAfter(random.nextInt(60));
    try {
      write(storage);
    } catch (Killed e) {
      steps.append(" interrupted");
    }
  }

  /** Writes, and reopens the storage if the disk refuses that, as a process does. */
  private void write(FileReplicaStorage storage) {
    if (random.nextInt(4) == 0) {
      disk.refuseAfter(random.nextInt(20), 1 + random.nextInt(3));
    }
    try {
      for (int step = random.nextInt(8); step > 0; step--) {
        saveAll(storage);
        acknowledge(known());
      }
    } catch (TrestleException e) {
      if (e.code() != ErrorCode.FILE_ACCESS) {
        throw e;
      }
      refusals++;
      steps.append(" refused");
      storage.close();
      reopen();
    }
  }

  /** Passes hard state, entries and a snapshot, or some of them, and syncs them. */
  private void saveAll(FileReplicaStorage storage) {
    if (known().hardState().term() == 0 || random.nextInt(3) == 0) {
      saveHardState(storage);
    }
    if (random.nextInt(4) > 0) {
      append(storage);
    }
    if (random.nextInt(4) == 0) {
      saveSnapshot(storage);
    }
    steps.append("; sync");
    storage.sync();
  }

  private void saveHardState(FileReplicaStorage storage) {
    State last = known();
    HardState state =
        new HardState(
            last.hardState().term() + 1, random.nextBoolean() ? storage.identity() : null);
    steps.append("; term ").append(state.term());
    expect(
        new State(last.identity(), state, last.snapshotIndex(), last.snapshotTerm(), last.terms()));
    storage.saveHardState(state);
  }

  private void append(FileReplicaStorage storage) {
    int replaced = random.nextInt(4) == 0 ? random.nextInt(known().terms().size() + 1) : 0;
    if (replaced > 0) {
      // An entry never replaces one of the same term.
      saveHardState(storage);
    }
    State last = known();
    List<Long> terms = new ArrayList<>(last.terms().subList(0, last.terms().size() - replaced));
    List<LogEntry> entries = new ArrayList<>();
    long index = last.snapshotIndex() + terms.size();
    for (int i = 1 + random.nextInt(3); i > 0; i--) {
      long term = last.hardState().term();
      entries.add(new LogEntry(++index, term, EntryKind.COMMAND, payload()));
      terms.add(term);
    }
    steps.append("; entries to ").append(index);
    expect(
        new State(
            last.identity(), last.hardState(), last.snapshotIndex(), last.snapshotTerm(), terms));
    storage.append(entries);
  }

  private byte[] payload() {
    byte[] payload = new byte[random.nextInt(MAXIMUM_PAYLOAD_BYTES)];
    random.nextBytes(payload);
    return payload;
  }

  private void saveSnapshot(FileReplicaStorage storage) {
    State last = known();
    boolean installs = last.terms().isEmpty() || random.nextInt(3) == 0;
    int covered = installs ? last.terms().size() + 2 : 1 + random.nextInt(last.terms().size());
    long index = last.snapshotIndex() + covered;
    long term = installs ? last.hardState().term() : last.terms().get(covered - 1);
    List<Long> terms = installs ? List.of() : last.terms().subList(covered, last.terms().size());
    steps.append("; snapshot ").append(index).append(installs ? " installed" : "");
    expect(new State(last.identity(), last.hardState(), index, term, List.copyOf(terms)));
    Configuration voters = new Configuration(List.of(storage.identity()), List.of());
    long firstRetained = installs ? index + 1 : Math.max(1, index + 1 - random.nextInt(3));
    storage.saveSnapshot(
        new Snapshot(index, term, voters, payload()),
        installs ? StoredEntries.DISCARD : StoredEntries.PRUNE,
        firstRetained);
  }

  private void expect(State state) {
    possible.add(state);
  }
}
