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

/**
 * Outgoing connection to one peer. It is opened by the first message, and again by the next message
 * after it broke; messages are queued until it is open, as many as their number and bytes allow.
 */
final class PeerConnection {

  private static final EventLog LOG = EventLog.of(PeerConnection.class);
  private static final long RECONNECT_INTERVAL_NANOS = 100_000_000L;
  private static final int MAXIMUM_QUEUED_MESSAGES = 256;

  private final InetSocketAddress peer;
  private final Bootstrap bootstrap;
  private final Envelope envelopeTemplate;
  private final PendingCalls pendingCalls;
  private final WaitingMessages waiting;
  private final Deque<WaitingMessages.Message> queuedMessages = new ArrayDeque<>();
  private @Nullable Channel channel;
  private boolean connecting;
  private boolean closed;
  private long nextAttemptNanos;

  PeerConnection(
      InetSocketAddress peer,
      Bootstrap bootstrap,
      Envelope envelopeTemplate,
      PendingCalls pendingCalls,
      WaitingMessages waiting,
      long nowNanos) {
    this.peer = peer;
    this.waiting = waiting;
    this.pendingCalls = pendingCalls;
    this.bootstrap = bootstrap;
    this.envelopeTemplate = envelopeTemplate;
    this.nextAttemptNanos = nowNanos;
  }

  boolean send(String service, int kind, ByteString body, long nowNanos) {
    return write(envelope(service, kind, 0, body), nowNanos);
  }

  CompletableFuture<byte[]> call(
      String service, int kind, ByteString body, long deadlineNanos, long nowNanos) {
    CompletableFuture<byte[]> future = new CompletableFuture<>();
    long correlation = pendingCalls.register(future, deadlineNanos);
    if (!write(envelope(service, kind, correlation, body), nowNanos)) {
      future.completeExceptionally(PendingCalls.unreachable("message to " + peer + " dropped"));
    }
    return future;
  }

  synchronized void close() {
    closed = true;
    discardQueue();
    if (channel != null) {
      channel.close();
    }
  }

  private Envelope envelope(String service, int kind, long correlation, ByteString body) {
    return envelopeTemplate.toBuilder()
        .setService(service)
        .setKind(kind)
        .setCorrelation(correlation)
        .setBody(body)
        .build();
  }

  private synchronized boolean write(Envelope envelope, long nowNanos) {
    if (!isConnected() && !connecting && !closed && nowNanos - nextAttemptNanos >= 0) {
      connect(nowNanos);
    }
    Channel open = channel;
    if (open != null && open.isActive()) {
      WaitingMessages.Message message = waiting.accept(envelope);
      if (message != null) {
        message.writeAndFlush(open);
      }
      return message != null;
    }
    return queue(envelope);
  }

  private boolean queue(Envelope envelope) {
    WaitingMessages.@Nullable Message message;
    if (!connecting) {
      message = waiting.refuse(envelope, DropReason.NO_CONNECTION);
    } else if (queuedMessages.size() >= MAXIMUM_QUEUED_MESSAGES) {
      message = waiting.refuse(envelope, DropReason.QUEUE_FULL);
    } else {
      message = waiting.accept(envelope);
    }
    if (message != null) {
      queuedMessages.add(message);
    }
    return message != null;
  }

  private boolean isConnected() {
    return channel != null && channel.isActive();
  }

  private void connect(long nowNanos) {
    connecting = true;
    nextAttemptNanos = nowNanos + RECONNECT_INTERVAL_NANOS;
    bootstrap
        .connect(peer)
        .addListener(
            (ChannelFuture future) -> connectCompleted(future.isSuccess(), future.channel()));
  }

  private synchronized void connectCompleted(boolean success, Channel connectedChannel) {
    connecting = false;
    if (!success || closed) {
      discardQueue();
      connectedChannel.close();
      pendingCalls.failAll("no connection to " + peer);
      return;
    }
    channel = connectedChannel;
    LOG.info(TransportEvent.PEER_CONNECTED, "peer", peer);
    while (!queuedMessages.isEmpty()) {
      queuedMessages.remove().write(connectedChannel);
    }
    connectedChannel.flush();
  }

  private void discardQueue() {
    while (!queuedMessages.isEmpty()) {
      queuedMessages.remove().discard();
    }
  }
}
