package org.teaseltrestle.node.operators;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Locale;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.KeyIssueResponse;
import org.teaseltrestle.model.operators.KeyRequest;
import org.teaseltrestle.model.operators.ListsChange;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.OperatorError;
import org.teaseltrestle.model.operators.OperatorJson;
import org.teaseltrestle.model.operators.PlannedChange;
import org.teaseltrestle.model.operators.WithdrawRequest;

/** HTTP server of the operators' API; every request must contain the operators' token. */
public final class OperatorServer implements AutoCloseable {

  private static final long MAXIMUM_BODY_BYTES = 8L * 1024 * 1024;
  private static final int READ_TIMEOUT_MILLISECONDS = 10_000;
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 8;
  private static final EventLog LOG = EventLog.of(OperatorServer.class);

  private final Undertow undertow;

  private OperatorServer(Undertow undertow) {
    this.undertow = undertow;
  }

  /** Starts the server on an address; port 0 selects a free port. */
  public static OperatorServer start(
      InetSocketAddress address, OperatorToken token, OperatorService service) {
    Undertow undertow =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, READ_TIMEOUT_MILLISECONDS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, READ_TIMEOUT_MILLISECONDS)
            .setHandler(new BlockingHandler(requireToken(token, routes(service))))
            .build();
    undertow.start();
    OperatorServer server = new OperatorServer(undertow);
    LOG.info(OperatorEvent.SERVER_STARTED, "address", server.address());
    return server;
  }

  /** Returns the address that the server listens on, with the selected port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  /** Returns the response to a request, as a record that is written as JSON. */
  @FunctionalInterface
  private interface Endpoint {
    Object respond(HttpServerExchange exchange) throws IOException;
  }

  private static RoutingHandler routes(OperatorService service) {
    return new RoutingHandler()
        .get("/operator/lists", handler(exchange -> service.lists()))
        .post(
            "/operator/lists/plan",
            handler(exchange -> service.plan(readBody(exchange, ListsProposal.class))))
        .post(
            "/operator/lists",
            handler(exchange -> service.replaceLists(readBody(exchange, ListsChange.class))))
        .get("/operator/status", handler(exchange -> service.status(indexParameter(exchange))))
        .get("/operator/keys", handler(exchange -> service.keys()))
        .post(
            "/operator/keys",
            handler(exchange -> service.issueKey(readBody(exchange, KeyRequest.class))))
        .post(
            "/operator/keys/{id}/withdraw",
            handler(
                exchange ->
                    service.withdrawKey(
                        readBody(exchange, WithdrawRequest.class).requestId(),
                        parameter(exchange, "id"))))
        .get("/operator/usage", handler(exchange -> service.usage()))
        .post(
            "/operator/changes",
            handler(exchange -> service.planChange(readBody(exchange, PlannedChange.class))))
        .setFallbackHandler(
            exchange -> send(exchange, 404, new OperatorError("not_found", "no such endpoint")))
        .setInvalidMethodHandler(
            exchange ->
                send(
                    exchange,
                    405,
                    new OperatorError(
                        "method_not_allowed", "endpoint does not support this method")));
  }

  private static HttpHandler requireToken(OperatorToken token, HttpHandler next) {
    return exchange -> {
      if (token.accepts(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))) {
        next.handleRequest(exchange);
        return;
      }
      LOG.warn(OperatorEvent.TOKEN_REFUSED, "from", exchange.getSourceAddress());
      send(exchange, 401, new OperatorError("unauthorized", "operator token is missing or wrong"));
    };
  }

  private static HttpHandler handler(Endpoint endpoint) {
    return exchange -> {
      try {
        Object response = endpoint.respond(exchange);
        send(exchange, statusOfResponse(response), response);
      } catch (TrestleException e) {
        int status = statusOfError(e.code());
        if (status >= 500) {
          LOG.warn(
              OperatorEvent.REQUEST_FAILED,
              "path",
              exchange.getRequestPath(),
              "reason",
              e.getMessage());
        }
        send(exchange, status, error(e.code(), String.valueOf(e.getMessage())));
      } catch (IOException e) {
        send(exchange, 400, error(ErrorCode.MALFORMED_MESSAGE, "request body cannot be read"));
      } catch (RuntimeException e) {
        LOG.error(OperatorEvent.REQUEST_FAILED, e, "path", exchange.getRequestPath());
        send(exchange, 500, error(ErrorCode.INTERNAL, "unexpected error; see the log of the node"));
      }
    };
  }

  private static <T> T readBody(HttpServerExchange exchange, Class<T> type) throws IOException {
    return OperatorJson.readRequest(exchange.getInputStream().readAllBytes(), type);
  }

  /** Returns a query or path parameter; Undertow adds path parameters to the query parameters. */
  private static String parameter(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? "" : values.getFirst();
  }

  private static long indexParameter(HttpServerExchange exchange) {
    String text = parameter(exchange, "index");
    try {
      return text.isEmpty() ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "not a log index: " + text, e);
    }
  }

  private static int statusOfResponse(Object response) {
    if (response instanceof KeyIssueResponse key) {
      return statusOfResponse(key.change());
    }
    if (response instanceof ChangeResponse change) {
      return switch (change.status()) {
        case ACCEPTED -> 200;
        case CONFLICT -> 409;
        case REJECTED -> 422;
      };
    }
    return 200;
  }

  private static int statusOfError(ErrorCode code) {
    return switch (code) {
      case MALFORMED_MESSAGE, INVALID_IDENTIFIER -> 400;
      case UNREACHABLE, CLOSED -> 503;
      default -> 500;
    };
  }

  private static OperatorError error(ErrorCode code, String message) {
    return new OperatorError(code.name().toLowerCase(Locale.ROOT), message);
  }

  private static void send(HttpServerExchange exchange, int status, Object body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(OperatorJson.write(body), StandardCharsets.UTF_8);
  }
}
