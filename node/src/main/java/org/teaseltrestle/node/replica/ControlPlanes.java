package org.teaseltrestle.node.replica;

import java.nio.file.Path;
import java.util.random.RandomGenerator;

/** Opens the control plane of a node: a replica for a voter, otherwise a follow service. */
public final class ControlPlanes {

  private ControlPlanes() {}

  /**
   * Opens and starts a voter's replica, or a {@link FollowService} on other instances. A voter
   * whose disk does not accept writes follows the committed log until it does. One whose data
   * folder is corrupt follows the committed log instead; it votes again, under a new identity, only
   * after an operator has removed the folder. The folder is not removed automatically, because an
   * error that affects all voters would then erase the state of the entire group.
   *
   * @param random source of replica incarnations and election jitter
   */
  public static ControlPlane open(
      ControlPlaneSettings settings, ControlPlaneContext context, RandomGenerator random) {
    Path folder = settings.dataFolder();
    if (folder == null || !settings.isVoter()) {
      FollowService follower = new FollowService(settings, context);
      follower.start();
      return follower;
    }
    return new ReplicaSupervisor(settings, context, random, folder).start();
  }
}
