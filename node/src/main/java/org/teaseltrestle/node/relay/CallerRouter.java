package org.teaseltrestle.node.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/**
 * HTTP handler of all caller requests: serves the pages about the instance on the I/O thread,
 * dispatches other requests to relay threads, and turns refusals and errors into responses. A
 * refusal that the committed state decides is final only while the knowledge of that state is
 * recent.
 */
final class CallerRouter implements HttpHandler {

  private static final EventLog LOG = EventLog.of(CallerRouter.class);

  /** Retry delay of refusals that another instance need not repeat; it can be asked at once. */
  private static final Duration RETRY_ELSEWHERE_DELAY = Duration.ofMillis(50);

  private final RelayContext context;
  private final RelayThreadPool threads;
  private final CallerInterface callerInterface;
  private final DrainTracker drain;

  CallerRouter(
      RelayContext context,
      RelayThreadPool threads,
      CallerInterface callerInterface,
      DrainTracker drain) {
    this.context = context;
    this.threads = threads;
    this.callerInterface = callerInterface;
    this.drain = drain;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (drain.isDraining()) {
      exchange.setPersistent(false);
    }
    String path = path(exchange);
    if (!callerInterface.servePage(exchange, path)) {
      dispatch(exchange, path);
    }
  }

  private void dispatch(HttpServerExchange exchange, String path) {
    RequestKnowledge knowledge = RequestKnowledge.read(context, callerInterface);
    RequestId request = callerInterface.identify(exchange);
    context.counters().requestReceived();
    if (!drain.tryStart()) {
      refuseOnIoThread(
          exchange,
          request,
          knowledge,
          new RefusalException(
              RefusalCode.SHUTTING_DOWN,
              NotRun.CERTAIN,
              "this instance is shutting down",
              RETRY_ELSEWHERE_DELAY));
      return;
    }
    if (!threads.execute(exchange, () -> relayTracked(exchange, request, path, knowledge))) {
      drain.requestEnded();
      refuseOnIoThread(
          exchange,
          request,
          knowledge,
          new RefusalException(
              RefusalCode.QUEUE_FULL, "this instance has too many requests in flight"));
    }
  }

  /** Refuses on the I/O thread. */
  private void refuseOnIoThread(
      HttpServerExchange exchange,
      RequestId request,
      RequestKnowledge knowledge,
      RefusalException refusal) {
    context.counters().requestRefused(refusal.refusalCode());
    logRefusal(request, knowledge, refusal, null);
    drain.refusalStarted();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          drain.refusalEnded();
          next.proceed();
        });
    refusalHeaders(exchange, refusal, request);
    exchange.setPersistent(false);
    exchange.setStatusCode(callerInterface.status(refusal));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(RefusalResponse.body(refusal, request)));
  }

  /**
   * Runs on a relay thread. The request counts as running until its response has been sent; a
   * caller that never sends the rest of a refused body does not delay a shutdown.
   */
  private void relayTracked(
      HttpServerExchange exchange, RequestId request, String path, RequestKnowledge knowledge) {
    try {
      relay(exchange, request, path, knowledge);
    } finally {
      drain.requestEnded();
    }
  }

  private void relay(
      HttpServerExchange exchange, RequestId request, String path, RequestKnowledge knowledge) {
    try (ByteBudget.Reservation memory = context.memory().open()) {
      relay(
          exchange,
          request,
          path,
          knowledge,
          new CallerResponse(
              exchange, request, context.settings().callerWriteTimeout(), context.clock(), memory));
    }
  }

  private void relay(
      HttpServerExchange exchange,
      RequestId request,
      String path,
      RequestKnowledge knowledge,
      CallerResponse response) {
    try {
      callerInterface.serve(exchange, request, path, response);
    } catch (RefusalException refusal) {
      if (isOutdated(refusal, knowledge)) {
        RefusalException replacement = outdated(refusal);
        logRefusal(request, knowledge, replacement, refusal.refusalCode());
        refuse(exchange, request, response, replacement);
      } else {
        logRefusal(request, knowledge, refusal, null);
        refuse(exchange, request, response, refusal);
      }
    } catch (CallerDisconnectedException e) {
      context.counters().requestRefused(RefusalCode.CALLER_LEFT);
      LOG.info(RelayEvent.CALLER_LEFT, "request", request);
      response.abort();
    } catch (RuntimeException e) {
      LOG.error(RelayEvent.REQUEST_FAILED, e, "request", request);
      refuse(
          exchange,
          request,
          response,
          new RefusalException(RefusalCode.INTERNAL_ERROR, "an internal error occurred"));
    } catch (Error e) {
      // The caller must not wait for an answer that nothing will send.
      response.abort();
      throw e;
    }
  }

  /** Returns whether another instance, with more recent knowledge, may serve a refused request. */
  private boolean isOutdated(RefusalException refusal, RequestKnowledge knowledge) {
    return refusal.notRun() == NotRun.CERTAIN
        && callerInterface.isDecidedByCommittedState(refusal.refusalCode())
        && knowledge.isOlderThan(context.settings().maximumKnowledgeAge());
  }

  private static RefusalException outdated(RefusalException refusal) {
    return new RefusalException(
        RefusalCode.CONFIGURATION_OUTDATED,
        NotRun.CERTAIN,
        "this instance has no recent news of the configuration: " + refusal.getMessage(),
        RETRY_ELSEWHERE_DELAY);
  }

  private void logRefusal(
      RequestId request,
      RequestKnowledge knowledge,
      RefusalException refusal,
      @Nullable RefusalCode replaced) {
    long nanos = context.clock().nowNanos() - knowledge.arrivedAtNanos();
    LOG.info(
        RelayEvent.REQUEST_REFUSED,
        "request",
        request,
        "code",
        refusal.refusalCode().wireName(),
        "replaces",
        replaced == null ? "none" : replaced.wireName(),
        "notRun",
        refusal.notRun(),
        "status",
        callerInterface.status(refusal),
        "afterMillis",
        TimeUnit.NANOSECONDS.toMillis(nanos),
        "version",
        knowledge.version(),
        "knowledgeAgeMillis",
        knowledge.ageMillis(),
        "reason",
        String.valueOf(refusal.getMessage()));
  }

  private void refuse(
      HttpServerExchange exchange,
      RequestId request,
      CallerResponse response,
      RefusalException refusal) {
    if (response.isFinished()) {
      LOG.warn(
          RelayEvent.FAILURE_AFTER_RESPONSE,
          "request",
          request,
          "code",
          refusal.refusalCode().wireName());
      return;
    }
    context.counters().requestRefused(refusal.refusalCode());
    try {
      if (response.isStarted()) {
        callerInterface.failStarted(response, refusal, request);
        return;
      }
      refusalHeaders(exchange, refusal, request);
      response.sendComplete(
          callerInterface.status(refusal),
          "application/json",
          RefusalResponse.body(refusal, request));
    } catch (CallerDisconnectedException e) {
      response.abort();
    }
  }

  private void refusalHeaders(
      HttpServerExchange exchange, RefusalException refusal, RequestId request) {
    exchange.getResponseHeaders().put(CallerResponse.REQUEST_ID, request.value());
    @Nullable String retryAfter = callerInterface.retryAfter(refusal);
    if (retryAfter != null) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfter);
    }
    if (refusal.refusalCode().httpStatus() == 401) {
      exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
    }
  }

  /** Returns the path as received; the request line may contain an absolute URL. */
  private static String path(HttpServerExchange exchange) {
    String uri = exchange.getRequestURI();
    if (!exchange.isHostIncludedInRequestURI()) {
      return uri;
    }
    int slash = uri.indexOf('/', uri.indexOf("://") + 3);
    return slash < 0 ? "/" : uri.substring(slash);
  }
}
