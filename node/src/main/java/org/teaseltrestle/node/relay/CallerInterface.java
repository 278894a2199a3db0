package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** Protocol for callers: which paths are served, and how refusals are represented. */
interface CallerInterface {

  /** Returns the request identifier for the response and the log. */
  RequestId identify(HttpServerExchange exchange);

  /** Serves a page about the instance on the I/O thread; returns false for any other path. */
  boolean servePage(HttpServerExchange exchange, String path);

  /**
   * Serves a request on a relay thread.
   *
   * @throws RefusalException if it is refused
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void serve(HttpServerExchange http, RequestId request, String path, CallerResponse response);

  /** Returns whether the committed state decides that requests are refused with a code. */
  boolean isDecidedByCommittedState(RefusalCode code);

  /** Returns the version of what decides requests in a view of the committed state. */
  long version(ControlView view);

  /** Returns the HTTP status of a refusal. */
  int status(RefusalException refusal);

  /** Returns the value of {@code Retry-After}, or null if waiting does not help. */
  @Nullable String retryAfter(RefusalException refusal);

  /** Ends a response that has started, so that the caller sees that it is incomplete. */
  void failStarted(CallerResponse response, RefusalException refusal, RequestId request);
}
