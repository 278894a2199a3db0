package org.teaseltrestle.node.replica;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;

/**
 * Opens the replica of a voter and opens it again after a failure, for example once a full disk
 * accepts writes again. Until then the instance follows the committed log. A corrupt data folder is
 * left to an operator, because an automatic removal could erase the state of the entire group.
 */
final class ReplicaSupervisor implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ReplicaSupervisor.class);
  private static final int RING_CAPACITY = 16;
  private static final long IDLE_TICK_NANOS = TimeUnit.MINUTES.toNanos(1);

  /**
   * Time between two attempts to open the replica. An attempt begins with a check of the free
   * space, so that it reads no log while the disk is full.
   */
  private static final long REOPEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final ControlPlaneSettings settings;
  private final ControlPlaneContext context;
  private final RandomGenerator random;
  private final Path folder;
  private final FallbackControlPlane plane;
  private final DutyThread<Runnable> duty;
  private @Nullable ReplicaService replica;
  private @Nullable FollowService follower;
  private boolean awaitsReopening;
  private long nextAttemptNanos;
  private String lastCause = "";

  ReplicaSupervisor(
      ControlPlaneSettings settings,
      ControlPlaneContext context,
      RandomGenerator random,
      Path folder) {
    this.settings = settings;
    this.context = context;
    this.random = random;
    this.folder = folder;
    this.plane = new FallbackControlPlane(this::close);
    this.nextAttemptNanos = context.clock().nowNanos();
    this.duty =
        new DutyThread<>(
            "replica-supervisor",
            RING_CAPACITY,
            Runnable::run,
            this::tick,
            this::nextTickNanos,
            context.clock());
  }

  /**
   * Opens the replica, or follows instead if the data folder is corrupt or cannot be used yet, and
   * returns the control plane, which closes this when it is closed.
   */
  synchronized ControlPlane start() {
    try {
      replica = startReplica(openReplica(FileReplicaStorage::open));
    } catch (TrestleException e) {
      awaitsReopening = e.code() != ErrorCode.DATA_CORRUPTED;
      nextAttemptNanos = context.clock().nowNanos() + REOPEN_INTERVAL_NANOS;
      followInstead(e);
    }
    duty.start();
    return plane;
  }

  /** Stops opening the replica; the delegate of the control plane is closed by the latter. */
  @Override
  public void close() {
    duty.close();
  }

  private synchronized long nextTickNanos(long lastTickNanos) {
    return awaitsReopening ? nextAttemptNanos : lastTickNanos + IDLE_TICK_NANOS;
  }

  private synchronized void tick(long nowNanos) {
    if (awaitsReopening && nowNanos - nextAttemptNanos >= 0) {
      reopen();
    }
  }

  /** Called on the thread of a replica that has stopped. */
  private synchronized void replicaStopped() {
    nextAttemptNanos = context.clock().nowNanos() + REOPEN_INTERVAL_NANOS;
    lastCause = "";
    awaitsReopening = true;
    followInstead(null);
    // Makes the duty read the new due time.
    duty.offer(() -> {});
  }

  private void followInstead(@Nullable TrestleException cause) {
    LOG.error(
        ReplicaEvent.FOLLOWING_INSTEAD,
        cause,
        "instance",
        settings.instance(),
        "folder",
        folder,
        "reopens",
        awaitsReopening);
    FollowService service = new FollowService(settings, context);
    follower = service;
    plane.replace(service, service::start);
  }

  private void reopen() {
    ReplicaService stopped = replica;
    if (stopped != null) {
      stopped.close();
      replica = null;
    }
    ReplicaService service;
    try {
      service = openReplica(FileReplicaStorage::reopen);
    } catch (TrestleException e) {
      awaitsReopening = e.code() != ErrorCode.DATA_CORRUPTED;
      nextAttemptNanos = context.clock().nowNanos() + REOPEN_INTERVAL_NANOS;
      logOpenFailed(e);
      return;
    }
    awaitsReopening = false;
    FollowService following = follower;
    if (following != null) {
      following.close();
      follower = null;
    }
    replica = startReplica(service);
  }

  /** Logs each cause once: attempts are frequent. */
  private void logOpenFailed(TrestleException failure) {
    String cause = String.valueOf(failure.getMessage());
    if (cause.equals(lastCause)) {
      return;
    }
    lastCause = cause;
    LOG.warn(
        ReplicaEvent.REOPEN_FAILED,
        "folder",
        folder,
        "code",
        failure.code(),
        "cause",
        cause,
        "reopens",
        awaitsReopening);
  }

  private ReplicaService openReplica(StorageOpener opener) {
    FileReplicaStorage storage =
        opener.open(folder, settings.instance(), random.nextLong(), settings.maximumDataBytes());
    try {
      return new ReplicaService(settings, context, storage, random, this::replicaStopped);
    } catch (RuntimeException e) {
      storage.close();
      throw e;
    }
  }

  private @Nullable ReplicaService startReplica(ReplicaService service) {
    if (plane.replace(service, service::start)) {
      return service;
    }
    service.close();
    return null;
  }

  @FunctionalInterface
  private interface StorageOpener {
    FileReplicaStorage open(
        Path folder, InstanceId instance, long newIncarnation, long maximumBytes);
  }
}
