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
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.KeyAnswer;
import org.teaseltrestle.model.operators.KeyRequest;
import org.teaseltrestle.model.operators.ListsChange;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.OperatorError;
import org.teaseltrestle.model.operators.OperatorJson;
import org.teaseltrestle.model.operators.PlannedChange;
import org.teaseltrestle.model.operators.WithdrawRequest;

/** HTTP server of the operators' API; every request must carry the operators' token. */
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

  /** Starts the server on an address; port 0 takes a free port. */
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
            .setHandler(new BlockingHandler(checked(token, routes(service))))
            .build();
    undertow.start();
    OperatorServer server = new OperatorServer(undertow);
    LOG.info(OperatorEvent.SERVER_STARTED, "address", server.address());
    return server;
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  /** Computes the record that answers a request. */
  @FunctionalInterface
  private interface Answerer {
    Object answer(HttpServerExchange exchange) throws IOException;
  }

  private static RoutingHandler routes(OperatorService service) {
    return new RoutingHandler()
        .get("/operator/lists", answer(exchange -> service.lists()))
        .post(
            "/operator/lists/plan",
            answer(exchange -> service.plan(body(exchange, ListsProposal.class))))
        .post(
            "/operator/lists",
            answer(exchange -> service.replaceLists(body(exchange, ListsChange.class))))
        .get("/operator/status", answer(exchange -> service.status(index(exchange))))
        .get("/operator/keys", answer(exchange -> service.keys()))
        .post(
            "/operator/keys",
            answer(exchange -> service.issueKey(body(exchange, KeyRequest.class))))
        .post(
            "/operator/keys/{id}/withdraw",
            answer(
                exchange ->
                    service.withdrawKey(
                        body(exchange, WithdrawRequest.class).requestId(),
                        parameter(exchange, "id"))))
        .get("/operator/usage", answer(exchange -> service.usage()))
        .post(
            "/operator/changes",
            answer(exchange -> service.planChange(body(exchange, PlannedChange.class))))
        .setFallbackHandler(
            exchange -> send(exchange, 404, new OperatorError("not_found", "no such endpoint")))
        .setInvalidMethodHandler(
            exchange ->
                send(exchange, 405, new OperatorError("method_not_allowed", "wrong method")));
  }

  private static HttpHandler checked(OperatorToken token, HttpHandler next) {
    return exchange -> {
      if (token.accepts(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))) {
        next.handleRequest(exchange);
        return;
      }
      LOG.warn(OperatorEvent.TOKEN_REFUSED, "from", exchange.getSourceAddress());
      send(exchange, 401, new OperatorError("unauthorized", "the operator token is not right"));
    };
  }

  private static HttpHandler answer(Answerer answerer) {
    return exchange -> {
      try {
        Object answer = answerer.answer(exchange);
        send(exchange, statusOf(answer), answer);
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
        send(exchange, 400, error(ErrorCode.MALFORMED_MESSAGE, "the request body cannot be read"));
      } catch (RuntimeException e) {
        LOG.error(OperatorEvent.REQUEST_FAILED, e, "path", exchange.getRequestPath());
        send(exchange, 500, error(ErrorCode.INTERNAL, "unexpected error; see the node's log"));
      }
    };
  }

  private static <T> T body(HttpServerExchange exchange, Class<T> type) throws IOException {
    return OperatorJson.readRequest(exchange.getInputStream().readAllBytes(), type);
  }

  private static String parameter(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? "" : values.getFirst();
  }

  private static long index(HttpServerExchange exchange) {
    String text = parameter(exchange, "index");
    try {
      return text.isEmpty() ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "not a log index: " + text, e);
    }
  }

  private static int statusOf(Object answer) {
    if (answer instanceof KeyAnswer key) {
      return statusOf(key.change());
    }
    if (answer instanceof ChangeAnswer change) {
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
