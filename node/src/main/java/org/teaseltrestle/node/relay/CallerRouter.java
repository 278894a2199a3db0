package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/**
 * Entry of all callers' requests: answers the pages about the instance at once, hands the others to
 * relay threads, and turns every refusal and error into its answer.
 */
final class CallerRouter implements HttpHandler {

  private static final EventLog LOG = EventLog.of(CallerRouter.class);

  private final RelayContext context;
  private final MetricRegistry metrics;
  private final RelayThreads threads;
  private final CompletionHandler completions;
  private final ServiceHandler services;
  private final Drain drain;

  CallerRouter(
      RelayContext context,
      MetricRegistry metrics,
      RelayThreads threads,
      CompletionHandler completions,
      ServiceHandler services,
      Drain drain) {
    this.context = context;
    this.metrics = metrics;
    this.threads = threads;
    this.completions = completions;
    this.services = services;
    this.drain = drain;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (drain.isDraining()) {
      exchange.setPersistent(false);
    }
    String path = path(exchange);
    switch (path) {
      case "/health/live" -> page(exchange, 200, InfoPages.status("live"));
      case "/health/ready" -> ready(exchange);
      case "/metrics" -> page(exchange, 200, InfoPages.metrics(metrics));
      default -> dispatch(exchange, path);
    }
  }

  private void ready(HttpServerExchange exchange) {
    boolean ready = context.control().isReady() && !drain.isDraining();
    page(exchange, ready ? 200 : 503, InfoPages.status(ready ? "ready" : "not_ready"));
  }

  private void dispatch(HttpServerExchange exchange, String path) {
    RequestId request = new RequestId("req-" + UUID.randomUUID());
    context.counters().request();
    drain.begin();
    if (!threads.execute(exchange, () -> relayCounted(exchange, request, path))) {
      drain.end();
      RefusalException refusal =
          new RefusalException(
              RefusalCode.QUEUE_FULL, "this instance has too many requests under way");
      context.counters().refusal(refusal.refusal());
      refusalHeaders(exchange, refusal, request);
      exchange.setPersistent(false);
      page(exchange, refusal.refusal().httpStatus(), RefusalAnswer.body(refusal, request));
    }
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
      route(exchange, request, path, response);
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

  private void route(
      HttpServerExchange http, RequestId request, String path, CallerResponse response) {
    CallerCredentials credentials =
        CallerCredentials.take(http.getRequestHeaders(), http.getQueryString());
    checkHeaders(http);
    context.gate().requireReady();
    Exchange exchange = new Exchange(http, request, path, credentials, response);
    if (path.startsWith(ServiceTarget.PREFIX)) {
      services.handle(exchange);
      return;
    }
    switch (path) {
      case "/v1/chat/completions" -> complete(exchange, CompletionRequest.Endpoint.CHAT);
      case "/v1/completions" -> complete(exchange, CompletionRequest.Endpoint.TEXT);
      case "/v1/models" -> models(exchange);
      default -> throw new RefusalException(RefusalCode.UNKNOWN_ROUTE, "no such route");
    }
  }

  private void complete(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    requireMethod(exchange, "POST");
    completions.handle(exchange, endpoint);
  }

  private void models(Exchange exchange) {
    requireMethod(exchange, "GET");
    Caller caller = context.gate().identify(exchange.credentials(), context.control().view());
    if (caller.plan() != null) {
      exchange.response().whole(200, "application/json", InfoPages.models(caller.plan()));
    }
  }

  private static void requireMethod(Exchange exchange, String method) {
    if (!exchange.http().getRequestMethod().toString().equals(method)) {
      exchange.response().header("Allow", method);
      throw new RefusalException(RefusalCode.METHOD_NOT_ALLOWED, "this route takes " + method);
    }
  }

  private void checkHeaders(HttpServerExchange exchange) {
    int bytes = exchange.getQueryString().length() + exchange.getRequestURI().length();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      for (String value : values) {
        bytes += values.getHeaderName().length() + value.length();
      }
    }
    if (bytes > context.settings().maximumHeaderBytes()) {
      exchange.setPersistent(false);
      throw new RefusalException(
          RefusalCode.HEADERS_TOO_LARGE,
          "the request's target and headers are larger than "
              + context.settings().maximumHeaderBytes()
              + " bytes");
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
        failBegun(exchange, request, response, refusal);
        return;
      }
      refusalHeaders(exchange, refusal, request);
      response.whole(
          refusal.refusal().httpStatus(), "application/json", RefusalAnswer.body(refusal, request));
    } catch (CallerGoneException e) {
      response.abort();
    }
  }

  private static void failBegun(
      HttpServerExchange exchange,
      RequestId request,
      CallerResponse response,
      RefusalException refusal) {
    String contentType = exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
    if (contentType == null || !contentType.startsWith("text/event-stream")) {
      response.abort();
      return;
    }
    LOG.warn(
        RelayEvent.STREAM_ENDED_WITH_ERROR,
        "request",
        request,
        "code",
        refusal.refusal().wireName());
    StreamSink.fail(response, RefusalAnswer.text(refusal, request));
  }

  private static void refusalHeaders(
      HttpServerExchange exchange, RefusalException refusal, RequestId request) {
    exchange.getResponseHeaders().put(CallerResponse.REQUEST_ID, request.value());
    @Nullable String retryAfter = RefusalAnswer.retryAfter(refusal);
    if (retryAfter != null) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
    }
    if (refusal.refusal().httpStatus() == 401) {
      exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
    }
  }

  /** Answers without a relay thread. */
  private static void page(HttpServerExchange exchange, int status, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
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
