package org.teaseltrestle.testkit.cluster;

import java.nio.file.Path;

/**
 * Planned node of a local cluster: its identity, addresses and folder.
 *
 * @param instance instance id
 * @param failureDomain failure domain
 * @param callerAddress address on which the node accepts callers' requests
 * @param operatorAddress address of the operators' API
 * @param peerAddress address on which other nodes connect
 * @param voter whether the node is an initial voter
 * @param folder folder of the node's settings, data and log
 */
public record ClusterNode(
    String instance,
    String failureDomain,
    String callerAddress,
    String operatorAddress,
    String peerAddress,
    boolean voter,
    Path folder) {

  /** Returns the settings file. */
  public Path settingsFile() {
    return folder.resolve("settings.json");
  }

  /** Returns the data folder. */
  public Path dataFolder() {
    return folder.resolve("data");
  }

  /** Returns the log file. */
  public Path logFile() {
    return folder.resolve("node.log");
  }
}
