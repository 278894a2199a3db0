package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RequestId;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the answer to a caller with blocking writes, so that a slow caller slows the engine's
 * stream down instead of filling memory. A caller that takes nothing for the write timeout is cut
 * off. Used by one relay thread.
 */
final class CallerResponse {

  static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private static final EventLog LOG = EventLog.of(CallerResponse.class);

  private static final long DROPPED_BODY_SECONDS = 2;

  private final HttpServerExchange exchange;
  private final RequestId request;
  private final Duration writeTimeout;
  private final MonotonicClock clock;
  private @Nullable StreamSinkChannel channel;

  CallerResponse(
      HttpServerExchange exchange, RequestId request, Duration writeTimeout, MonotonicClock clock) {
    this.exchange = exchange;
    this.request = request;
    this.writeTimeout = writeTimeout;
    this.clock = clock;
  }

  boolean hasBegun() {
    return channel != null;
  }

  @Nullable String contentType() {
    return exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
  }

  void header(String name, String value) {
    exchange.getResponseHeaders().add(new HttpString(name), value);
  }

  /**
   * Starts the answer.
   *
   * @param contentLength body length in bytes, -1 if it is not known
   */
  void begin(int status, @Nullable String contentType, long contentLength) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(REQUEST_ID, request.value());
    if (contentType != null) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    }
    if (contentLength >= 0) {
      exchange.setResponseContentLength(contentLength);
    }
    channel = exchange.getResponseChannel();
    if (channel == null) {
      throw new CallerGoneException();
    }
  }

  /** Sends a complete answer. */
  void whole(int status, String contentType, byte[] body) {
    begin(status, contentType, body.length);
    write(body, body.length);
    finish();
  }

  /** Writes body bytes; they may stay in the connection's buffer until {@link #flush()}. */
  void write(byte[] bytes, int length) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
    StreamSinkChannel sink = open();
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
      throw gone();
    }
  }

  /** Sends what is buffered. */
  void flush() {
    StreamSinkChannel sink = open();
    long deadlineNanos = deadline();
    try {
      while (!sink.flush()) {
        awaitWritable(sink, deadlineNanos);
      }
    } catch (IOException e) {
      throw gone();
    }
  }

  /** Ends the answer regularly. */
  void finish() {
    StreamSinkChannel sink = open();
    try {
      sink.shutdownWrites();
    } catch (IOException e) {
      throw gone();
    }
    flush();
    exchange.endExchange();
    if (!exchange.isRequestComplete()) {
      // The rest of a refused body is read and dropped, but not for ever.
      exchange
          .getIoThread()
          .executeAfter(this::abortIfOpen, DROPPED_BODY_SECONDS, TimeUnit.SECONDS);
    }
  }

  /** Closes the connection, so that the caller sees that the answer is not whole. */
  void abort() {
    IoUtils.safeClose(exchange.getConnection());
  }

  private void abortIfOpen() {
    if (!exchange.isComplete()) {
      abort();
    }
  }

  private StreamSinkChannel open() {
    StreamSinkChannel sink = channel;
    if (sink == null) {
      throw new IllegalStateException("answer has not begun");
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
      throw gone();
    }
    sink.awaitWritable(remaining, TimeUnit.NANOSECONDS);
  }

  private CallerGoneException gone() {
    abort();
    return new CallerGoneException();
  }
}
