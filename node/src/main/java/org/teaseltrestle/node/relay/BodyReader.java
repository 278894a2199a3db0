package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RefusalCode;
import org.xnio.channels.StreamSourceChannel;

/** Reads a request body within a size limit and a time limit. */
final class BodyReader {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final RelaySettings settings;
  private final MonotonicClock clock;

  BodyReader(RelaySettings settings, MonotonicClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Reads the body.
   *
   * @throws RefusalException if it is too large or does not arrive in time
   * @throws CallerDisconnectedException if the connection breaks
   */
  byte[] read(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > settings.maximumBodyBytes()) {
      throw tooLarge(exchange);
    }
    try {
      if (HttpContinue.requiresContinueResponse(exchange)) {
        HttpContinue.sendContinueResponseBlocking(exchange);
      }
      return readAll(exchange, exchange.getRequestChannel());
    } catch (RequestTooBigException e) {
      throw tooLarge(exchange);
    } catch (IOException e) {
      throw new CallerDisconnectedException();
    }
  }

  private byte[] readAll(HttpServerExchange exchange, @Nullable StreamSourceChannel channel)
      throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (channel == null) {
      return body.toByteArray();
    }
    long deadlineNanos = clock.nowNanos() + settings.bodyTimeout().toNanos();
    ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    while (true) {
      int count = channel.read(buffer);
      if (count < 0) {
        return body.toByteArray();
      }
      body.write(buffer.array(), 0, buffer.position());
      buffer.clear();
      if (body.size() > settings.maximumBodyBytes()) {
        throw tooLarge(exchange);
      }
      // A body that arrives slowly must meet the same deadline as one that stalls.
      long remaining = deadlineNanos - clock.nowNanos();
      if (remaining <= 0) {
        exchange.setPersistent(false);
        throw new RefusalException(
            RefusalCode.BODY_TIMEOUT, "the request body did not arrive in time");
      }
      if (count == 0) {
        channel.awaitReadable(remaining, TimeUnit.NANOSECONDS);
      }
    }
  }

  private RefusalException tooLarge(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    return new RefusalException(
        RefusalCode.BODY_TOO_LARGE,
        "the request body is larger than " + settings.maximumBodyBytes() + " bytes");
  }
}
