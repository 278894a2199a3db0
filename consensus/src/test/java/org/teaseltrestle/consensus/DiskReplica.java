package org.teaseltrestle.consensus;

import java.util.Random;
import org.teaseltrestle.model.ReplicaId;

/**
 * Replica of a random schedule with the product's storage on a simulated disk, which loses or tears
 * what is not synced when the power is lost.
 */
final class DiskReplica extends SimulatedReplica {

  private final Random random;
  private SimulatedDisk disk;
  private FileReplicaStorage storage;
  private boolean holdsEntries;

  DiskReplica(ReplicaId id, double clockRate, long clockOffset, Random random) {
    super(id, clockRate, clockOffset);
    this.random = random;
    this.disk = new SimulatedDisk(random);
    this.storage = open();
  }

  @Override
  boolean isFormed() {
    return holdsEntries;
  }

  @Override
  void start(RaftSettings settings, long realNanos) {
    storage = open();
    RecoveredState recovered = storage.recovered();
    holdsEntries = recovered.snapshot() != null || !recovered.entries().isEmpty();
    SafetyChecker.check(storage.identity().equals(id), "identity lost: " + id);
    startCore(settings, recovered, realNanos);
  }

  @Override
  void loseDisk(ReplicaId newId) {
    core = null;
    id = newId;
    disk = new SimulatedDisk(random);
    storage = open();
    holdsEntries = false;
  }

  @Override
  void store(RaftAction.StorageAction action, RandomSchedule.Variant variant) {
    storage.execute(action);
    holdsEntries |= !(action instanceof RaftAction.SaveHardState);
  }

  @Override
  void sync() {
    storage.sync();
  }

  @Override
  void failSoon() {
    disk.killAfter(random.nextInt(6));
  }

  @Override
  void end() {
    super.end();
    if (random.nextInt(3) == 0) {
      disk.kill();
    } else {
      disk.losePower();
    }
  }

  private FileReplicaStorage open() {
    disk.kill();
    return FileReplicaStorage.open(disk, id.instance(), id.incarnation(), Long.MAX_VALUE);
  }
}
