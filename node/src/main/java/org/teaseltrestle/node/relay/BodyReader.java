package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.RefusalCode;
import org.xnio.channels.StreamSourceChannel;

/** Reads a request body within a size limit, a time limit and the memory of this process. */
final class BodyReader {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int COPIES_OF_GROWING_BODY = 3;

  private final RelaySettings settings;
  private final MonotonicClock clock;

  /**
   * Places of large bodies of unknown length that are being read. Without a limit, many of them
   * could take the memory together and none would be complete.
   */
  private final Semaphore growingBodies;

  BodyReader(RelaySettings settings, MonotonicClock clock, ByteBudget memory) {
    this.settings = settings;
    this.clock = clock;
    long largestBytes = (long) COPIES_OF_GROWING_BODY * settings.maximumBodyBytes();
    this.growingBodies = new Semaphore((int) Math.max(1, memory.largeCapacity() / largestBytes));
  }

  /** Reads a body within the size limit of the settings. */
  byte[] read(HttpServerExchange exchange, ByteBudget.Reservation memory) {
    return read(exchange, memory, settings.maximumBodyBytes());
  }

  /**
   * Reads the body.
   *
   * @param memory reservation to which the body is added
   * @param maximumBytes maximum size of the body
   * @throws RefusalException if it is too large, does not arrive in time or does not fit
   * @throws CallerDisconnectedException if the connection breaks
   */
  byte[] read(HttpServerExchange exchange, ByteBudget.Reservation memory, int maximumBytes) {
    long length = exchange.getRequestContentLength();
    if (length > maximumBytes) {
      throw tooLarge(exchange, maximumBytes);
    }
    if (maximumBytes > settings.maximumBodyBytes()) {
      exchange.setMaxEntitySize(RelaySettings.ENTITY_SIZE_FACTOR * maximumBytes);
    }
    boolean fits = length <= 0 || memory.tryAdd(length);
    try {
      if (HttpContinue.requiresContinueResponse(exchange)) {
        if (!fits) {
          throw tooManyBytes(exchange);
        }
        HttpContinue.sendContinueResponseBlocking(exchange);
      }
      ByteArrayOutputStream body =
          length > 0 && fits
              ? new ExactBody((int) length)
              : new GrowingBody(exchange, memory, !fits);
      try (body) {
        readAll(exchange, RequestBody.channel(exchange), body, maximumBytes);
        return body.toByteArray();
      }
    } catch (RequestTooBigException e) {
      throw tooLarge(exchange, maximumBytes);
    } catch (IOException e) {
      throw new CallerDisconnectedException();
    }
  }

  private void readAll(
      HttpServerExchange exchange,
      @Nullable StreamSourceChannel channel,
      ByteArrayOutputStream body,
      int maximumBytes)
      throws IOException {
    if (channel == null) {
      return;
    }
    long deadlineNanos = clock.nowNanos() + settings.bodyTimeout().toNanos();
    ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    while (true) {
      int count = channel.read(buffer);
      if (count < 0) {
        return;
      }
      body.write(buffer.array(), 0, buffer.position());
      buffer.clear();
      if (body.size() > maximumBytes) {
        throw tooLarge(exchange, maximumBytes);
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

  private static RefusalException tooManyBytes(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    return new RefusalException(
        RefusalCode.MEMORY_FULL, "the bodies of other requests take the memory of this instance");
  }

  private static RefusalException tooLarge(HttpServerExchange exchange, int maximumBytes) {
    exchange.setPersistent(false);
    return new RefusalException(
        RefusalCode.BODY_TOO_LARGE, "the request body is larger than " + maximumBytes + " bytes");
  }

  /**
   * Body of unknown length, which is copied as it grows. One that does not fit is read and
   * discarded: few callers read a response before they have sent their request.
   */
  private final class GrowingBody extends ByteArrayOutputStream {

    private final HttpServerExchange exchange;
    private final ByteBudget.Reservation memory;
    private boolean hasPlace;
    private boolean discarded;

    GrowingBody(HttpServerExchange exchange, ByteBudget.Reservation memory, boolean discarded) {
      this.exchange = exchange;
      this.memory = memory;
      this.discarded = discarded;
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
      if (!discarded && !tryReserve(length)) {
        discarded = true;
        close();
        memory.close();
        buf = new byte[0];
        count = 0;
      }
      if (!discarded) {
        super.write(bytes, offset, length);
      }
    }

    @Override
    public synchronized byte[] toByteArray() {
      if (discarded) {
        throw tooManyBytes(exchange);
      }
      return super.toByteArray();
    }

    private boolean tryReserve(int length) {
      if (!hasPlace && size() + length > ByteBudget.SMALL_BYTES) {
        hasPlace = growingBodies.tryAcquire();
        if (!hasPlace) {
          return false;
        }
      }
      return memory.tryAdd((long) COPIES_OF_GROWING_BODY * length);
    }

    @Override
    public void close() {
      if (hasPlace) {
        hasPlace = false;
        growingBodies.release();
      }
    }
  }

  /** Body of a known length, which is returned without a copy once it is complete. */
  private static final class ExactBody extends ByteArrayOutputStream {

    ExactBody(int length) {
      super(length);
    }

    @Override
    public synchronized byte[] toByteArray() {
      return count == buf.length ? buf : super.toByteArray();
    }
  }
}
