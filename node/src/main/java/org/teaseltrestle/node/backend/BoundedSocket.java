package org.teaseltrestle.node.backend;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;

/**
 * Socket that bounds how much a backend server may send without delivering any part of a response
 * body: heads, chunk extensions and trailers without end, and heads that never become complete.
 * Without a bound such bytes fill the memory or occupy a thread forever.
 */
final class BoundedSocket extends Socket {

  private final MonotonicClock clock;
  private final int maximumUndeliveredBytes;
  private final Object lock = new Object();
  private boolean bounded;
  private int undeliveredBytes;
  private boolean headComplete;
  private long headDeadlineNanos;
  private @Nullable InputStream input;

  /** Creates an unconnected socket; the bounds apply from {@link #startResponse}. */
  BoundedSocket(MonotonicClock clock, int maximumUndeliveredBytes) {
    this.clock = clock;
    this.maximumUndeliveredBytes = maximumUndeliveredBytes;
  }

  /**
   * Starts to bound the bytes of one response.
   *
   * @param headTimeout time within which the head must be complete
   */
  void startResponse(Duration headTimeout) {
    synchronized (lock) {
      bounded = true;
      undeliveredBytes = 0;
      headComplete = false;
      headDeadlineNanos = clock.nowNanos() + headTimeout.toNanos();
    }
  }

  /** Records that the head of the response is complete. */
  void headReceived() {
    synchronized (lock) {
      headComplete = true;
    }
  }

  /** Records that bytes of the response body were read. */
  void bodyDelivered() {
    synchronized (lock) {
      undeliveredBytes = 0;
    }
  }

  @Override
  public InputStream getInputStream() throws IOException {
    synchronized (lock) {
      if (input == null) {
        input = new BoundedInputStream(super.getInputStream());
      }
      return input;
    }
  }

  private void checkHeadDeadline() throws SocketTimeoutException {
    synchronized (lock) {
      if (bounded && !headComplete && clock.nowNanos() - headDeadlineNanos > 0) {
        throw new SocketTimeoutException("response head was not complete in time");
      }
    }
  }

  private void count(int bytes) throws ProtocolException {
    synchronized (lock) {
      undeliveredBytes += Math.max(0, bytes);
      if (bounded && undeliveredBytes > maximumUndeliveredBytes) {
        throw new ProtocolException(
            "more than " + maximumUndeliveredBytes + " bytes without a part of a response body");
      }
    }
  }

  private final class BoundedInputStream extends FilterInputStream {

    BoundedInputStream(InputStream input) {
      super(input);
    }

    @Override
    public int read() throws IOException {
      checkHeadDeadline();
      int value = super.read();
      count(value < 0 ? 0 : 1);
      return value;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      checkHeadDeadline();
      int count = super.read(bytes, offset, length);
      count(count);
      return count;
    }
  }
}
