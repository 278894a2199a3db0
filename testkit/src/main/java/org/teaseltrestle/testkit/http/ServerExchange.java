package org.teaseltrestle.testkit.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/** A request to a fake, with its complete body, and the response to it. */
public final class ServerExchange {

  private final HttpServerExchange exchange;
  private final byte[] body;

  ServerExchange(HttpServerExchange exchange) throws IOException {
    this.exchange = exchange;
    exchange.startBlocking();
    this.body = exchange.getInputStream().readAllBytes();
  }

  /** Returns the HTTP method. */
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  /** Returns the path of the request, without the query. */
  public String path() {
    return exchange.getRequestPath();
  }

  /** Returns the query string as it was sent, empty if there is none. */
  public String query() {
    return exchange.getQueryString();
  }

  /** Returns the client's address and port, for the record. */
  public String sender() {
    return String.valueOf(exchange.getSourceAddress());
  }

  /** Returns a header's first value, or the default if the header is absent. */
  public String header(String name, String defaultValue) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? defaultValue : value;
  }

  /** Returns a query parameter's first value, or the default if it is absent. */
  public String parameter(String name, String defaultValue) {
    var values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? defaultValue : values.getFirst();
  }

  /** Returns all headers; several values of one header are joined by a comma. */
  public ObjectNode headers() {
    ObjectNode headers = Json.object();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      headers.put(values.getHeaderName().toString(), String.join(", ", values));
    }
    return headers;
  }

  /** Returns a copy of the body. */
  public byte[] body() {
    return body.clone();
  }

  /**
   * Returns the body as JSON, an empty object for an empty body; throws {@code MALFORMED_MESSAGE}
   * if it is not JSON.
   */
  public JsonNode json() {
    return body.length == 0 ? Json.object() : Json.parse(new String(body, StandardCharsets.UTF_8));
  }

  /** Sets a header of the response. */
  public void setResponseHeader(String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }

  /** Sends a JSON response. */
  public void reply(int status, JsonNode response) throws IOException {
    reply(status, "application/json", response.toString());
  }

  /** Sends a response with a text body in UTF-8. */
  public void reply(int status, String contentType, String response) throws IOException {
    byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
    exchange.setStatusCode(status);
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    exchange.getOutputStream().write(bytes);
    exchange.getOutputStream().close();
  }

  /** Sends an error response in the form of the external protocols. */
  public void replyError(int status, String code) throws IOException {
    ObjectNode response = Json.object();
    response.putObject("error").put("code", code).put("message", code.replace('_', ' '));
    reply(status, response);
  }

  /** Starts a response of server-sent events and returns its output stream. */
  public OutputStream startEventStream() {
    exchange.setStatusCode(200);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    return exchange.getOutputStream();
  }

  /**
   * Sends a truncated response: its Content-Length covers the complete text, but the connection
   * closes after a part of it.
   */
  public void replyTruncated(String complete, int sentBytes) throws IOException {
    byte[] bytes = complete.getBytes(StandardCharsets.UTF_8);
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getOutputStream().write(bytes, 0, Math.min(sentBytes, bytes.length - 1));
    exchange.getOutputStream().flush();
    abortConnection();
  }

  /** Closes the connection without a response or in the middle of one. */
  public void abortConnection() {
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Returns a field of a JSON object as a text, or null if it is absent or null. */
  public static @Nullable String textOf(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? null : value.asText();
  }
}
