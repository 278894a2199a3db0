package org.teaseltrestle.node.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/**
 * Entry of all callers' requests: answers the pages about the instance at once, hands the others to
 * relay threads, and turns every refusal and error into its answer.
 */
final class CallerRouter implements HttpHandler {

  private static final EventLog LOG = EventLog.of(CallerRouter.class);

  /** Another instance takes the request at once. */
  private static final Duration ELSEWHERE_AT_ONCE = Duration.ofMillis(50);

  private final RelayContext context;
  private final RelayThreads threads;
  private final CallerInterface callers;
  private final Drain drain;

  CallerRouter(RelayContext context, RelayThreads threads, CallerInterface callers, Drain drain) {
    this.context = context;
    this.threads = threads;
    this.callers = callers;
    this.drain = drain;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (drain.isDraining()) {
      exchange.setPersistent(false);
    }
    String path = path(exchange);
    if (!callers.answerPage(exchange, path)) {
      dispatch(exchange, path);
    }
  }

  private void dispatch(HttpServerExchange exchange, String path) {
    RequestId request = callers.identify(exchange);
    context.counters().request();
    if (drain.isRefusing()) {
      refuseAtOnce(
          exchange,
          request,
          new RefusalException(
              RefusalCode.SHUTTING_DOWN,
              NotRun.CERTAIN,
              "this instance is stopping",
              ELSEWHERE_AT_ONCE));
      return;
    }
    drain.begin();
    if (!threads.execute(exchange, () -> relayCounted(exchange, request, path))) {
      drain.end();
      refuseAtOnce(
          exchange,
          request,
          new RefusalException(
              RefusalCode.QUEUE_FULL, "this instance has too many requests under way"));
    }
  }

  /** Refuses without a relay thread. */
  private void refuseAtOnce(
      HttpServerExchange exchange, RequestId request, RefusalException refusal) {
    context.counters().refusal(refusal.refusal());
    LOG.info(RelayEvent.ROUTED_REFUSED, "request", request, "code", refusal.refusal().wireName());
    refusalHeaders(exchange, refusal, request);
    exchange.setPersistent(false);
    exchange.setStatusCode(callers.status(refusal));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(RefusalAnswer.body(refusal, request)));
  }

  /**
   * Runs on a relay thread. The request counts until its answer has left this process; a caller
   * that never sends the rest of a refused body does not hold up a stop.
   */
  private void relayCounted(HttpServerExchange exchange, RequestId request, String path) {
    try {
      relay(exchange, request, path);
    } finally {
      drain.end();
    }
  }

  private void relay(HttpServerExchange exchange, RequestId request, String path) {
    CallerResponse response =
        new CallerResponse(
            exchange, request, context.settings().callerWriteTimeout(), context.clock());
    try {
      callers.serve(exchange, request, path, response);
    } catch (RefusalException refusal) {
      refuse(exchange, request, response, refusal);
    } catch (CallerGoneException e) {
      context.counters().refusal(RefusalCode.CALLER_LEFT);
      LOG.info(RelayEvent.CALLER_LEFT, "request", request);
      response.abort();
    } catch (RuntimeException e) {
      LOG.error(RelayEvent.REQUEST_FAILED, e, "request", request);
      refuse(
          exchange,
          request,
          response,
          new RefusalException(RefusalCode.INTERNAL_ERROR, "an internal error occurred"));
    }
  }

  private void refuse(
      HttpServerExchange exchange,
      RequestId request,
      CallerResponse response,
      RefusalException refusal) {
    context.counters().refusal(refusal.refusal());
    try {
      if (response.hasBegun()) {
        callers.failBegun(response, refusal, request);
        return;
      }
      refusalHeaders(exchange, refusal, request);
      response.whole(
          callers.status(refusal), "application/json", RefusalAnswer.body(refusal, request));
    } catch (CallerGoneException e) {
      response.abort();
    }
  }

  private void refusalHeaders(
      HttpServerExchange exchange, RefusalException refusal, RequestId request) {
    exchange.getResponseHeaders().put(CallerResponse.REQUEST_ID, request.value());
    @Nullable String retryAfter = callers.retryAfter(refusal);
    if (retryAfter != null) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
    }
    if (refusal.refusal().httpStatus() == 401) {
      exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
    }
  }

  /** Returns the path as received; the request line may hold a complete URL. */
  private static String path(HttpServerExchange exchange) {
    String uri = exchange.getRequestURI();
    if (!exchange.isHostIncludedInRequestURI()) {
      return uri;
    }
    int slash = uri.indexOf('/', uri.indexOf("://") + 3);
    return slash < 0 ? "/" : uri.substring(slash);
  }
}
