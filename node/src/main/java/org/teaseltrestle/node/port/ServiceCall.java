package org.teaseltrestle.node.port;

import java.time.Duration;
import java.util.List;

/**
 * One attempt at a plain service.
 *
 * @param address base URL of the service replica
 * @param method HTTP method
 * @param target path and query as sent, starting with a slash
 * @param headers header fields that are passed on
 * @param body request body, empty if there is none
 * @param connectionUse whether a connection that was idle may be used
 * @param timeout longest wait for the first byte of the answer, and between two bytes
 * @param handle cancels the attempt
 */
public record ServiceCall(
    String address,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    ConnectionUse connectionUse,
    Duration timeout,
    AttemptHandle handle) {

  /** Copies the header fields. */
  public ServiceCall {
    headers = List.copyOf(headers);
  }

  /** Whether a connection that was idle may be used. */
  public enum ConnectionUse {
    /** Takes a pooled connection, which the server may close while the request is under way. */
    POOLED,
    /** Opens a connection, so that a call that may run once is not lost on a stale connection. */
    FRESH
  }
}
