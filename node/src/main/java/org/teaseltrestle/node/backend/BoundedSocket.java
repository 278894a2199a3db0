package org.teaseltrestle.node.backend;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;

/**
 * Socket that bounds how much a backend server may send without delivering any part of a response
 * body: heads, chunk extensions and trailers without end, and heads that never become complete.
 * Without a bound such bytes fill the memory or occupy a thread forever. Bytes that arrive before
 * the request belong to no request, so the connection fails, as it does at a violation of {@link
 * ResponseSyntax}. After a failed write the end of the input proves nothing: the operating system
 * reports a reset once, so a reader sees a regular end if the writer has seen the reset.
 */
final class BoundedSocket extends Socket {

  private final MonotonicClock clock;
  private final int maximumUndeliveredBytes;
  private final Object lock = new Object();
  private boolean bounded;
  private boolean requestStarted;
  private boolean receivedEarlyBytes;
  private int undeliveredBytes;
  private boolean headComplete;
  private long headDeadlineNanos;
  private ResponseSyntax syntax = new ResponseSyntax();
  private @Nullable InputStream input;
  private volatile @Nullable IOException writeFailure;
  private volatile @Nullable Runnable onArrival;

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
      requestStarted = false;
      syntax = new ResponseSyntax();
      undeliveredBytes = 0;
      headComplete = false;
      headDeadlineNanos = clock.nowNanos() + headTimeout.toNanos();
    }
  }

  /** Sets what is called whenever bytes arrive while they are waited for. */
  void setOnArrival(@Nullable Runnable listener) {
    onArrival = listener;
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

  @Override
  public OutputStream getOutputStream() throws IOException {
    return new RequestOutputStream(super.getOutputStream());
  }

  /** Checks, before the first byte of a request, that the server has not sent anything yet. */
  private void startRequest() throws IOException {
    synchronized (lock) {
      if (bounded && !requestStarted) {
        requestStarted = true;
        receivedEarlyBytes = getInputStream().available() > 0;
      }
    }
    checkNoEarlyBytes();
  }

  /** OkHttp also reads a response after it failed to send the request. */
  private void checkNoEarlyBytes() throws EarlyResponseException {
    synchronized (lock) {
      if (receivedEarlyBytes) {
        throw new EarlyResponseException();
      }
    }
  }

  private void checkHeadDeadline() throws SocketTimeoutException {
    synchronized (lock) {
      if (bounded && !headComplete && clock.nowNanos() - headDeadlineNanos > 0) {
        throw new SocketTimeoutException("response head was not complete in time");
      }
    }
  }

  private void checkEnd(int result) throws IOException {
    IOException failure = writeFailure;
    if (result < 0 && failure != null) {
      throw new SocketException("connection was reset while the request was written: " + failure);
    }
  }

  private void check(byte[] bytes, int offset, int length) throws ProtocolException {
    synchronized (lock) {
      if (bounded && length > 0) {
        syntax.accept(bytes, offset, length);
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

  /** Thrown before any byte of a request is sent, if the server has already sent some. */
  static final class EarlyResponseException extends ProtocolException {

    private static final long serialVersionUID = 1L;

    EarlyResponseException() {
      super("server sent bytes before the request");
    }
  }

  /**
   * Returns what to call if the next read returns bytes: nothing if they are there already, since a
   * slow reader gets them long after they arrived.
   */
  private @Nullable Runnable arrivalListener(InputStream in) throws IOException {
    Runnable listener = onArrival;
    return listener == null || in.available() > 0 ? null : listener;
  }

  private final class RequestOutputStream extends FilterOutputStream {

    RequestOutputStream(OutputStream output) {
      super(output);
    }

    @Override
    public void write(int value) throws IOException {
      startRequest();
      try {
        out.write(value);
      } catch (IOException e) {
        writeFailure = e;
        throw e;
      }
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      startRequest();
      try {
        out.write(bytes, offset, length);
      } catch (IOException e) {
        writeFailure = e;
        throw e;
      }
    }
  }

  private final class BoundedInputStream extends FilterInputStream {

    BoundedInputStream(InputStream input) {
      super(input);
    }

    @Override
    public int read() throws IOException {
      checkNoEarlyBytes();
      checkHeadDeadline();
      Runnable listener = arrivalListener(in);
      int value = super.read();
      if (listener != null && value >= 0) {
        listener.run();
      }
      checkEnd(value);
      count(value < 0 ? 0 : 1);
      if (value >= 0) {
        check(new byte[] {(byte) value}, 0, 1);
      }
      return value;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      checkNoEarlyBytes();
      checkHeadDeadline();
      Runnable listener = arrivalListener(in);
      int count = super.read(bytes, offset, length);
      if (listener != null && count > 0) {
        listener.run();
      }
      checkEnd(count);
      count(count);
      check(bytes, offset, count);
      return count;
    }
  }
}
