package org.teaseltrestle.node.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request is in flight.
 *
 * <p>Undertow reads nothing between the end of a request and the end of its response, so a close in
 * that time reaches its close listeners only at the next write. While a request waits without
 * writing, this class reads the connection itself. A byte of a pipelined request is pushed back,
 * and the watch ends there. On a busy instance the I/O thread may be late, so {@link #check} reads
 * at once on the thread of the request.
 */
final class CallerDisconnectWatch implements AutoCloseable {

  private static final AttachmentKey<AtomicReference<Runnable>> CLOSE_LISTENER =
      AttachmentKey.create(AtomicReference.class);

  private final HttpServerConnection connection;
  private final ConduitStreamSourceChannel channel;
  private final StreamSourceConduit conduit;
  private final Runnable onClose;
  private final ChannelListener<? super ConduitStreamSourceChannel> previous;
  private boolean active = true;

  private CallerDisconnectWatch(HttpServerConnection connection, Runnable onClose) {
    this.connection = connection;
    this.channel = connection.getChannel().getSourceChannel();
    this.conduit = connection.getOriginalSourceConduit();
    this.onClose = onClose;
    this.previous = channel.getReadListener();
  }

  /**
   * Starts a watch after the request body was read; returns null if the connection is not HTTP/1 or
   * already holds bytes of a pipelined request.
   */
  static @Nullable CallerDisconnectWatch start(HttpServerExchange exchange, Runnable onClose) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return null;
    }
    AtomicReference<Runnable> listener = closeListener(connection);
    listener.set(onClose);
    if (connection.getExtraBytes() != null) {
      return null;
    }
    CallerDisconnectWatch watch = new CallerDisconnectWatch(connection, onClose);
    connection.getIoThread().execute(watch::startReading);
    return watch;
  }

  /** Reports a close that has arrived already. Called by the thread of the request. */
  void check() {
    checkForClose();
  }

  /** Ends the watch; must be called before the response ends. */
  @Override
  public synchronized void close() {
    closeListener(connection).set(() -> {});
    if (active) {
      stopReading();
    }
  }

  /** Returns the close listener, which all requests of a keep-alive connection share. */
  private static AtomicReference<Runnable> closeListener(HttpServerConnection connection) {
    AtomicReference<Runnable> listener = connection.getAttachment(CLOSE_LISTENER);
    if (listener == null) {
      AtomicReference<Runnable> added = new AtomicReference<>(() -> {});
      connection.putAttachment(CLOSE_LISTENER, added);
      connection.addCloseListener(
          closed -> {
            Runnable current = added.get();
            if (current != null) {
              current.run();
            }
          });
      return added;
    }
    return listener;
  }

  private synchronized void startReading() {
    if (active) {
      channel.setReadListener(source -> checkForClose());
      conduit.resumeReads();
    }
  }

  private void checkForClose() {
    if (readByte()) {
      onClose.run();
    }
  }

  /** Returns whether the caller closed its side of the connection. */
  private synchronized boolean readByte() {
    if (!active) {
      return false;
    }
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    ByteBuffer buffer = pooled.getBuffer();
    buffer.clear().limit(1);
    int count;
    try {
      count = conduit.read(buffer);
    } catch (IOException e) {
      count = -1;
    }
    if (count > 0) {
      buffer.flip();
      connection.ungetRequestBytes(pooled);
    } else {
      pooled.close();
    }
    if (count != 0) {
      stopReading();
    }
    return count < 0;
  }

  private void stopReading() {
    active = false;
    conduit.suspendReads();
    channel.setReadListener(previous);
  }
}
