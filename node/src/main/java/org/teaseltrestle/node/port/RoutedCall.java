package org.teaseltrestle.node.port;

import java.util.List;
import org.teaseltrestle.model.RequestId;

/**
 * One attempt to run a routed request on a backend server.
 *
 * @param request identifier of the caller's request, for the log
 * @param address address of the backend server
 * @param method HTTP method
 * @param target path and query as received
 * @param headers header fields to send
 * @param body request body, empty if there is none
 * @param handle cancels the attempt, also when its deadline has passed
 * @param deadlineNanos monotonic time at which the handle cancels the attempt
 */
public record RoutedCall(
    RequestId request,
    String address,
    String method,
    String target,
    List<HeaderField> headers,
    byte[] body,
    AttemptHandle handle,
    long deadlineNanos) {

  /** Copies the header fields. */
  public RoutedCall {
    headers = List.copyOf(headers);
  }
}
