package org.teaseltrestle.node.port;

/** Sends routed requests to backend servers, each on a connection of its own. */
@FunctionalInterface
public interface RelayedClient {

  /**
   * Sends a request once and returns its answer after the header.
   *
   * @throws AttemptFailure if no header comes
   */
  ServiceAnswer call(RelayedCall call);
}
