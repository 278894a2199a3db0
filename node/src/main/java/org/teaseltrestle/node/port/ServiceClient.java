package org.teaseltrestle.node.port;

/** Calls of one replica of a plain service. */
public interface ServiceClient {

  /**
   * Sends a request once.
   *
   * @throws AttemptFailure if there is no answer, or the replica refused to run the request
   */
  ServiceAnswer call(ServiceCall call);

  /**
   * Reads the load report.
   *
   * @throws AttemptFailure if the replica gives none
   */
  ServiceLoad load(String address);
}
