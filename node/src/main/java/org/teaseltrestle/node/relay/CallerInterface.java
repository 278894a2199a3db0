package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RequestId;

/** One protocol that callers speak: what is served where, and the form of refusals. */
interface CallerInterface {

  /** Returns the identifier under which a request is answered and logged. */
  RequestId identify(HttpServerExchange exchange);

  /** Answers a page about the instance at once; returns false if the path is not such a page. */
  boolean answerPage(HttpServerExchange exchange, String path);

  /**
   * Serves a request on a relay thread.
   *
   * @throws RefusalException if it is refused
   * @throws CallerGoneException if the caller left
   */
  void serve(HttpServerExchange http, RequestId request, String path, CallerResponse response);

  /** Returns the HTTP status of a refusal. */
  int status(RefusalException refusal);

  /** Returns the value of {@code Retry-After}, or null if waiting does not help. */
  @Nullable String retryAfter(RefusalException refusal);

  /** Ends an answer that has begun; it must not look whole. */
  void failBegun(CallerResponse response, RefusalException refusal, RequestId request);
}
