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

/** One request to a fake, read whole, and its answer. */
public final class Call {

  private final HttpServerExchange exchange;
  private final byte[] body;

  Call(HttpServerExchange exchange) throws IOException {
    this.exchange = exchange;
    exchange.startBlocking();
    this.body = exchange.getInputStream().readAllBytes();
  }

  /** Returns the method. */
  public String method() {
    return exchange.getRequestMethod().toString();
  }

  /** Returns the path. */
  public String path() {
    return exchange.getRequestPath();
  }

  /** Returns the query as it was sent. */
  public String query() {
    return exchange.getQueryString();
  }

  /** Returns the sender's address and port. */
  public String sender() {
    return String.valueOf(exchange.getSourceAddress());
  }

  /** Returns a header's first value, or the default if the header is absent. */
  public String header(String name, String absent) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? absent : value;
  }

  /** Returns a query parameter's first value, or the default if it is absent. */
  public String parameter(String name, String absent) {
    var values = exchange.getQueryParameters().get(name);
    return values == null || values.isEmpty() ? absent : values.getFirst();
  }

  /** Returns all headers, for the record. */
  public ObjectNode headers() {
    ObjectNode headers = Json.object();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      headers.put(values.getHeaderName().toString(), String.join(", ", values));
    }
    return headers;
  }

  /** Returns the body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the body as JSON, an empty object for an empty body. */
  public JsonNode json() {
    return body.length == 0 ? Json.object() : Json.parse(new String(body, StandardCharsets.UTF_8));
  }

  /** Sets a header of the answer. */
  public void answerHeader(String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }

  /** Answers with JSON. */
  public void reply(int status, JsonNode answer) throws IOException {
    reply(status, "application/json", answer.toString());
  }

  /** Answers with a text of a content type. */
  public void reply(int status, String contentType, String answer) throws IOException {
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    exchange.setStatusCode(status);
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    exchange.getOutputStream().write(bytes);
    exchange.getOutputStream().close();
  }

  /** Answers with an error in the form of the outside protocols. */
  public void refuse(int status, String code) throws IOException {
    ObjectNode answer = Json.object();
    answer.putObject("error").put("code", code).put("message", code.replace('_', ' '));
    reply(status, answer);
  }

  /** Starts a stream of server-sent events and returns its output. */
  public OutputStream startEvents() {
    exchange.setStatusCode(200);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    return exchange.getOutputStream();
  }

  /** Writes part of an answer that announces more bytes than are sent, then breaks the link. */
  public void cut(String announced, int sentBytes) throws IOException {
    byte[] bytes = announced.getBytes(StandardCharsets.UTF_8);
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getOutputStream().write(bytes, 0, Math.min(sentBytes, bytes.length - 1));
    exchange.getOutputStream().flush();
    breakConnection();
  }

  /** Breaks the connection without an answer or in the middle of one. */
  public void breakConnection() {
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Returns a field of the JSON body as a text, or null if it is absent. */
  public static @Nullable String textOf(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? null : value.asText();
  }
}
