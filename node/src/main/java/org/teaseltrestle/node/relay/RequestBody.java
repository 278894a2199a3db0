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

/** Access to the body of a request, and the end of an exchange that has not read all of it. */
final class RequestBody {

  private static final AttachmentKey<StreamSourceChannel> CHANNEL =
      AttachmentKey.create(StreamSourceChannel.class);

  private static final long DISCARD_SECONDS = 2;

  /** Reads after which other connections of the same I/O thread have their turn. */
  private static final int READS_A_TURN = 16;

  private RequestBody() {}

  /**
   * Returns the channel of the body, null if the request has none. An exchange gives it out only
   * once, so it must not be asked for elsewhere.
   */
  static @Nullable StreamSourceChannel channel(HttpServerExchange exchange) {
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
   * in it closes for good; after that it would close such connections. Not for I/O threads, on
   * which Undertow ends the exchange itself.
   */
  static void discardAndEnd(HttpServerExchange exchange) {
    StreamSourceChannel channel = exchange.isRequestComplete() ? null : channel(exchange);
    if (channel == null) {
      exchange.endExchange();
      return;
    }
    channel.getReadSetter().set(readable -> discard(exchange, readable));
    XnioIoThread thread = exchange.getIoThread();
    try {
      thread.execute(() -> discard(exchange, channel));
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
    // The next request on the connection may set no listener of its own at once.
    channel.suspendReads();
    try {
      int count = readSome(exchange, channel);
      if (count < 0) {
        exchange.endExchange();
      } else if (count == 0) {
        channel.resumeReads();
      } else {
        exchange.getIoThread().execute(() -> discard(exchange, channel));
      }
    } catch (IOException | RejectedExecutionException e) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  /** Returns the result of the last read: -1 at the end of the body, 0 if there is nothing yet. */
  private static int readSome(HttpServerExchange exchange, StreamSourceChannel channel)
      throws IOException {
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      int count = 1;
      for (int reads = 0; count > 0 && reads < READS_A_TURN; reads++) {
        buffer.clear();
        count = channel.read(buffer);
      }
      return count;
    }
  }

  private static void closeIfIncomplete(HttpServerExchange exchange) {
    if (!exchange.isComplete()) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }
}
