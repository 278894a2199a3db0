package org.teaseltrestle.transport;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.wire.Envelope;

/** Outgoing connection to one peer; reconnects when it is next used. */
final class PeerConnection {

  private static final EventLog LOG = EventLog.of(PeerConnection.class);
  private static final long RECONNECT_PAUSE_NANOS = 100_000_000L;
  private static final int MAXIMUM_WAITING_MESSAGES = 256;

  private final InetSocketAddress peer;
  private final Bootstrap bootstrap;
  private final Envelope template;
  private final PendingCalls calls;
  private final Deque<Envelope> waiting = new ArrayDeque<>();
  private @Nullable Channel channel;
  private boolean connecting;
  private long nextAttemptNanos;

  PeerConnection(
      InetSocketAddress peer,
      Bootstrap bootstrap,
      Envelope template,
      PendingCalls calls,
      long nowNanos) {
    this.peer = peer;
    this.calls = calls;
    this.bootstrap = bootstrap;
    this.template = template;
    this.nextAttemptNanos = nowNanos;
  }

  boolean send(String service, int kind, byte[] body, long nowNanos) {
    return write(envelope(service, kind, 0, body), nowNanos);
  }

  CompletableFuture<byte[]> call(
      String service, int kind, byte[] body, long deadlineNanos, long now) {
    CompletableFuture<byte[]> future = new CompletableFuture<>();
    long correlation = calls.register(future, deadlineNanos);
    if (!write(envelope(service, kind, correlation, body), now)) {
      future.completeExceptionally(PendingCalls.unreachable("message to " + peer + " dropped"));
    }
    return future;
  }

  synchronized void close() {
    waiting.clear();
    if (channel != null) {
      channel.close();
    }
  }

  private Envelope envelope(String service, int kind, long correlation, byte[] body) {
    return template.toBuilder()
        .setService(service)
        .setKind(kind)
        .setCorrelation(correlation)
        .setBody(ByteString.copyFrom(body))
        .build();
  }

  private synchronized boolean write(Envelope envelope, long nowNanos) {
    if (channel != null && channel.isActive()) {
      if (!channel.isWritable()) {
        return false;
      }
      channel.writeAndFlush(envelope);
      return true;
    }
    if (!connecting) {
      if (nowNanos - nextAttemptNanos < 0) {
        return false;
      }
      connect(nowNanos);
    }
    if (waiting.size() >= MAXIMUM_WAITING_MESSAGES) {
      return false;
    }
    waiting.add(envelope);
    return true;
  }

  private void connect(long nowNanos) {
    connecting = true;
    nextAttemptNanos = nowNanos + RECONNECT_PAUSE_NANOS;
    bootstrap
        .connect(peer)
        .addListener((ChannelFuture future) -> connected(future.isSuccess(), future.channel()));
  }

  private synchronized void connected(boolean success, Channel connected) {
    connecting = false;
    if (!success) {
      waiting.clear();
      calls.failAll("no connection to " + peer);
      return;
    }
    channel = connected;
    LOG.info(TransportEvent.PEER_CONNECTED, "peer", peer);
    while (!waiting.isEmpty()) {
      connected.write(waiting.poll());
    }
    connected.flush();
  }
}
