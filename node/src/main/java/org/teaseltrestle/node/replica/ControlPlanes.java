package org.teaseltrestle.node.replica;

import java.nio.file.Path;
import java.util.random.RandomGenerator;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Opens the control plane of a node: a replica for a voter, otherwise a follow service. */
public final class ControlPlanes {

  private static final EventLog LOG = EventLog.of(ControlPlanes.class);

  private ControlPlanes() {}

  /**
   * Opens and starts a voter's replica, or a {@link FollowService} on other instances. A voter
   * whose data folder is corrupt follows the committed log instead; it votes again, under a new
   * identity, only after an operator has removed the folder. The folder is not removed
   * automatically, because an error that affects all voters would then erase the state of the
   * entire group.
   *
   * @param random source of replica incarnations and election jitter
   * @throws TrestleException with {@link ErrorCode#FILE_ACCESS} if the data folder cannot be used
   */
  public static ControlPlane open(
      ControlPlaneSettings settings, ControlPlaneContext context, RandomGenerator random) {
    Path folder = settings.dataFolder();
    FallbackControlPlane plane = new FallbackControlPlane();
    if (folder == null || !settings.isVoter()) {
      plane.follow(new FollowService(settings, context));
      return plane;
    }
    try {
      plane.start(openReplica(settings, context, random, folder, plane));
    } catch (TrestleException e) {
      if (e.code() != ErrorCode.DATA_CORRUPTED) {
        throw e;
      }
      LOG.error(ReplicaEvent.FOLLOWING_INSTEAD, e, "folder", folder);
      plane.follow(new FollowService(settings, context));
    }
    return plane;
  }

  private static ReplicaService openReplica(
      ControlPlaneSettings settings,
      ControlPlaneContext context,
      RandomGenerator random,
      Path folder,
      FallbackControlPlane plane) {
    FileReplicaStorage storage =
        FileReplicaStorage.open(
            folder, settings.instance(), random.nextLong(), settings.maximumDataBytes());
    try {
      return new ReplicaService(
          settings, context, storage, random, () -> followInstead(settings, context, plane));
    } catch (RuntimeException e) {
      storage.close();
      throw e;
    }
  }

  private static void followInstead(
      ControlPlaneSettings settings, ControlPlaneContext context, FallbackControlPlane plane) {
    LOG.warn(ReplicaEvent.FOLLOWING_INSTEAD, "instance", settings.instance());
    plane.follow(new FollowService(settings, context));
  }
}
