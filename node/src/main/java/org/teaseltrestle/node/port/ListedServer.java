package org.teaseltrestle.node.port;

import org.teaseltrestle.policy.BackendServer;

/**
 * Entry of the platform's instance list.
 *
 * @param server backend server with its listed state
 * @param kind engine or plain service
 */
public record ListedServer(BackendServer server, Kind kind) {

  /** Kind of backend server. */
  public enum Kind {
    ENGINE,
    SERVICE
  }
}
