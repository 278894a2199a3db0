package org.teaseltrestle.node.port;

/** Client of the replicas of plain services. */
public interface ServiceClient {

  /**
   * Sends a request once.
   *
   * @throws AttemptFailure if there is no response, or the replica refused to run the request
   */
  ServiceResponse call(ServiceCall call);

  /**
   * Reads the load report.
   *
   * @throws AttemptFailure if the replica returns none
   */
  ServiceLoad load(String address);
}
