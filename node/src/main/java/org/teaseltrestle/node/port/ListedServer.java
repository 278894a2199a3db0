package org.teaseltrestle.node.port;

import org.teaseltrestle.policy.BackendServer;

/**
 * Entry of the platform's list of backend servers.
 *
 * @param server backend server in the state that the list shows
 * @param kind engine or plain service
 */
public record ListedServer(BackendServer server, Kind kind) {

  /** Kind of backend server. */
  public enum Kind {
    ENGINE,
    SERVICE
  }
}
