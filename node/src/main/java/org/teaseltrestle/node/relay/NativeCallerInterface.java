package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** Native interface for callers: completions, plain services and pages about the instance. */
final class NativeCallerInterface implements CallerInterface {

  private static final EventLog LOG = EventLog.of(NativeCallerInterface.class);

  private final RelayContext context;
  private final MetricRegistry metrics;
  private final CompletionHandler completions;
  private final ServiceHandler services;
  private final DrainTracker drain;

  NativeCallerInterface(
      RelayContext context,
      MetricRegistry metrics,
      CompletionHandler completions,
      ServiceHandler services,
      DrainTracker drain) {
    this.context = context;
    this.metrics = metrics;
    this.completions = completions;
    this.services = services;
    this.drain = drain;
  }

  @Override
  public RequestId identify(HttpServerExchange exchange) {
    return new RequestId("req-" + UUID.randomUUID());
  }

  @Override
  public boolean servePage(HttpServerExchange exchange, String path) {
    switch (path) {
      case "/health/live" -> page(exchange, 200, InfoPages.health("live"));
      case "/health/ready" -> ready(exchange);
      case "/metrics" -> page(exchange, 200, InfoPages.metrics(metrics));
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public void serve(
      HttpServerExchange http, RequestId request, String path, CallerResponse response) {
    CallerCredentials credentials =
        CallerCredentials.extract(http.getRequestHeaders(), http.getQueryString());
    HeaderLimit.check(http, context.settings().maximumHeaderBytes());
    context.authenticator().requireReady();
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

  @Override
  public boolean isDecidedByCommittedState(RefusalCode code) {
    return code.basis() == RefusalCode.Basis.COMMITTED_STATE;
  }

  @Override
  public long version(ControlView view) {
    return view.listsRevision();
  }

  @Override
  public int status(RefusalException refusal) {
    return refusal.refusalCode().httpStatus();
  }

  @Override
  public @Nullable String retryAfter(RefusalException refusal) {
    return RefusalResponse.retryAfter(refusal);
  }

  @Override
  public void failStarted(CallerResponse response, RefusalException refusal, RequestId request) {
    if (!response.acceptsErrorEvents()) {
      response.abort();
      return;
    }
    LOG.warn(
        RelayEvent.STREAM_ENDED_WITH_ERROR,
        "request",
        request,
        "code",
        refusal.refusalCode().wireName());
    StreamingSink.failStream(response, RefusalResponse.text(refusal, request));
  }

  private void ready(HttpServerExchange exchange) {
    boolean ready =
        context.control().isReady()
            && context.directory().isKnown()
            && context.authenticator().hasReceivedKeyLease()
            && !drain.isDraining();
    page(exchange, ready ? 200 : 503, InfoPages.health(ready ? "ready" : "not_ready"));
  }

  private void complete(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    requireMethod(exchange, "POST");
    completions.handle(exchange, endpoint);
  }

  private void models(Exchange exchange) {
    requireMethod(exchange, "GET");
    Caller caller =
        context.authenticator().identify(exchange.credentials(), context.control().view());
    if (caller.plan() != null) {
      exchange.response().sendComplete(200, "application/json", InfoPages.models(caller.plan()));
    }
  }

  private static void requireMethod(Exchange exchange, String method) {
    if (!exchange.http().getRequestMethod().toString().equals(method)) {
      exchange.response().header("Allow", method);
      throw new RefusalException(
          RefusalCode.METHOD_NOT_ALLOWED, "this route accepts only " + method);
    }
  }

  /** Responds on the I/O thread. */
  private static void page(HttpServerExchange exchange, int status, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
