package org.teaseltrestle.node.port;

import java.time.Duration;
import java.util.List;

/**
 * One attempt at a replica of a plain service.
 *
 * @param address base URL of the service replica
 * @param method HTTP method
 * @param target path and query as sent, starting with a slash
 * @param headers header fields to send
 * @param body request body, empty if there is none
 * @param timeout longest wait for the head of the response, and for each part of its body
 * @param handle cancels the attempt
 */
public record ServiceCall(
    String address,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    Duration timeout,
    AttemptHandle handle) {

  /** Copies the header fields. */
  public ServiceCall {
    headers = List.copyOf(headers);
  }
}
