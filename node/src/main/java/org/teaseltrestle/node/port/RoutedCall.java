package org.teaseltrestle.node.port;

import java.util.List;

/**
 * One attempt to run a routed request on a backend server.
 *
 * @param address address of the backend server
 * @param method HTTP method
 * @param target path and query as received
 * @param headers header fields to send
 * @param body request body, empty if there is none
 * @param handle cancels the attempt, also when its deadline has passed
 */
public record RoutedCall(
    String address,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    AttemptHandle handle) {

  /** Copies the header fields. */
  public RoutedCall {
    headers = List.copyOf(headers);
  }
}
