package org.teaseltrestle.node.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/** The channel of a request's body, which an exchange gives out only once. */
final class RequestBodyChannel {

  private static final AttachmentKey<StreamSourceChannel> CHANNEL =
      AttachmentKey.create(StreamSourceChannel.class);

  private static final long DISCARD_SECONDS = 2;

  private RequestBodyChannel() {}

  /** Returns the channel, null if the request has no body. */
  static @Nullable StreamSourceChannel of(HttpServerExchange exchange) {
    StreamSourceChannel channel = exchange.getAttachment(CHANNEL);
    if (channel == null) {
      channel = exchange.getRequestChannel();
      if (channel != null) {
        exchange.putAttachment(CHANNEL, channel);
      }
    }
    return channel;
  }

  /**
   * Ends an exchange whose response is complete, and discards the rest of its request body, for a
   * limited time, so that the connection can carry the next request. Undertow discards through a
   * file channel that all connections of a process share, and that the interruption of any thread
   * in it closes for good; after that it would close such connections.
   */
  static void endExchange(HttpServerExchange exchange) {
    StreamSourceChannel channel = exchange.isRequestComplete() ? null : of(exchange);
    if (channel == null) {
      exchange.endExchange();
      return;
    }
    channel.getReadSetter().set(readable -> discard(exchange, readable));
    XnioIoThread thread = exchange.getIoThread();
    try {
      thread.execute(
          () -> {
            channel.resumeReads();
            discard(exchange, channel);
          });
      thread.executeAfter(() -> closeIfIncomplete(exchange), DISCARD_SECONDS, TimeUnit.SECONDS);
    } catch (RejectedExecutionException e) {
      // The server stops, and with it the connection.
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private static void discard(HttpServerExchange exchange, StreamSourceChannel channel) {
    if (exchange.isComplete()) {
      return;
    }
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      int count;
      do {
        buffer.clear();
        count = channel.read(buffer);
      } while (count > 0);
      if (count < 0) {
        exchange.endExchange();
      }
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private static void closeIfIncomplete(HttpServerExchange exchange) {
    if (!exchange.isComplete()) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
