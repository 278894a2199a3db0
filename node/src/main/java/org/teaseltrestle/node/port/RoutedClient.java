package org.teaseltrestle.node.port;

/** Sends routed requests to backend servers, each on a new connection. */
@FunctionalInterface
public interface RoutedClient {

  /**
   * Sends a request once and returns its response once the header has been received.
   *
   * @throws AttemptFailure if no header is received
   */
  ServiceResponse call(RoutedCall call);
}
