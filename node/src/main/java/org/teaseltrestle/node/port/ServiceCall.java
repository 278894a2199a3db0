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
 * @param connectionUse whether an idle connection may be reused
 * @param timeout longest wait for the first byte of the response, and between two bytes
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

  /** Whether an idle connection may be reused. */
  public enum ConnectionUse {
    /** Reuses a pooled connection, which the server may close while the request is sent. */
    POOLED,
    /** Opens a connection, so that an at-most-once request is not lost on a stale connection. */
    FRESH
  }
}
