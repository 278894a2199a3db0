package org.teaseltrestle.node.relay;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.ResponseFraming;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the response to a caller with blocking writes, so that a slow caller applies backpressure
 * to the engine's stream instead of filling memory. A caller that reads nothing for the write
 * timeout is disconnected. Confined to one relay thread.
 */
final class CallerResponse {

  static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private static final EventLog LOG = EventLog.of(CallerResponse.class);

  /** How far the response is. Its connection may carry the next request once it is finished. */
  private enum State {
    NOT_STARTED,
    STARTED,
    FINISHED,
    ABORTED
  }

  private final HttpServerExchange exchange;
  private final RequestId request;
  private final Duration writeTimeout;
  private final MonotonicClock clock;
  private final ByteBudget.Reservation memory;
  private @Nullable StreamSinkChannel channel;
  private State state = State.NOT_STARTED;
  private long bodyBytes;
  private boolean acceptsErrorEvents;

  CallerResponse(
      HttpServerExchange exchange,
      RequestId request,
      Duration writeTimeout,
      MonotonicClock clock,
      ByteBudget.Reservation memory) {
    this.exchange = exchange;
    this.request = request;
    this.writeTimeout = writeTimeout;
    this.clock = clock;
    this.memory = memory;
  }

  /** Returns the reservation for what is kept of the request and of its response. */
  ByteBudget.Reservation memory() {
    return memory;
  }

  boolean isStarted() {
    return state != State.NOT_STARTED;
  }

  /** Returns whether the caller has received the complete response. */
  boolean isFinished() {
    return state == State.FINISHED;
  }

  /**
   * Marks the response as an event stream of the relay's own, which may end with an error event.
   */
  void acceptErrorEvents() {
    acceptsErrorEvents = true;
  }

  boolean acceptsErrorEvents() {
    return acceptsErrorEvents;
  }

  @Nullable String contentType() {
    return exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
  }

  void header(String name, String value) {
    requireNotStarted();
    exchange.getResponseHeaders().add(new HttpString(name), value);
  }

  /**
   * Starts the response.
   *
   * @param contentLength body length in bytes, -1 if unknown
   * @throws IllegalStateException if it has already been started
   */
  void start(int status, @Nullable String contentType, long contentLength) {
    requireNotStarted();
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(REQUEST_ID, request.value());
    if (contentType != null) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    }
    if (contentLength >= 0) {
      exchange.setResponseContentLength(contentLength);
    } else if (acceptsChunks()) {
      // Undertow would end the body of a response that is not persistent with the connection.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }
    channel = exchange.getResponseChannel();
    if (channel == null) {
      throw new CallerDisconnectedException();
    }
    state = State.STARTED;
  }

  /** Sends a complete response. */
  void sendComplete(int status, String contentType, byte[] body) {
    start(status, contentType, body.length);
    write(body, body.length);
    finish();
  }

  /** Writes body bytes; they may stay in the connection's buffer until {@link #flush()}. */
  void write(byte[] bytes, int length) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
    bodyBytes += length;
    StreamSinkChannel sink = startedChannel();
    long deadlineNanos = deadline();
    try {
      while (buffer.hasRemaining()) {
        if (sink.write(buffer) == 0) {
          awaitWritable(sink, deadlineNanos);
        } else {
          deadlineNanos = deadline();
        }
      }
    } catch (IOException e) {
      throw disconnect();
    }
  }

  /** Sends the buffered bytes. */
  void flush() {
    StreamSinkChannel sink = startedChannel();
    long deadlineNanos = deadline();
    try {
      while (!sink.flush()) {
        awaitWritable(sink, deadlineNanos);
      }
    } catch (IOException e) {
      throw disconnect();
    }
  }

  /** Ends the response regularly. */
  void finish() {
    StreamSinkChannel sink = startedChannel();
    try {
      sink.shutdownWrites();
    } catch (IOException e) {
      throw disconnect();
    }
    flush();
    state = State.FINISHED;
    RequestBody.discardAndEnd(exchange);
  }

  /**
   * Closes the connection, so that the caller sees that the response is incomplete. A regular close
   * would complete a response without a length or chunks, so that one ends with a reset. A finished
   * response is left alone, because its connection may already carry the next request.
   */
  void abort() {
    if (isFinished() || state == State.ABORTED) {
      return;
    }
    ResponseFraming framing = framing();
    if (isStarted()) {
      LOG.info(
          RelayEvent.RESPONSE_ABORTED, "request", request, "framing", framing, "bytes", bodyBytes);
    }
    if (isStarted() && framing == ResponseFraming.CONNECTION) {
      try {
        exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
      } catch (IOException e) {
        LOG.warn(RelayEvent.RESET_FAILED, "request", request, "reason", e);
      }
    }
    state = State.ABORTED;
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Returns whether the caller understands chunks and the response may have a body. */
  private boolean acceptsChunks() {
    return exchange.isHttp11()
        && !exchange.getRequestMethod().equals(Methods.HEAD)
        && Connectors.isEntityBodyAllowed(exchange);
  }

  /** Returns what ends the body for the caller. */
  private ResponseFraming framing() {
    if (exchange.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)) {
      return ResponseFraming.CHUNKS;
    }
    return exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
        ? ResponseFraming.LENGTH
        : ResponseFraming.CONNECTION;
  }

  private void requireNotStarted() {
    if (isStarted()) {
      throw new IllegalStateException("response has already been started");
    }
  }

  private StreamSinkChannel startedChannel() {
    StreamSinkChannel sink = channel;
    if (sink == null) {
      throw new IllegalStateException("response has not started");
    }
    return sink;
  }

  private long deadline() {
    return clock.nowNanos() + writeTimeout.toNanos();
  }

  private void awaitWritable(StreamSinkChannel sink, long deadlineNanos) throws IOException {
    long remaining = deadlineNanos - clock.nowNanos();
    if (remaining <= 0) {
      LOG.warn(RelayEvent.SLOW_CALLER_CLOSED, "request", request);
      throw disconnect();
    }
    sink.awaitWritable(remaining, TimeUnit.NANOSECONDS);
  }

  private CallerDisconnectedException disconnect() {
    abort();
    return new CallerDisconnectedException();
  }
}
