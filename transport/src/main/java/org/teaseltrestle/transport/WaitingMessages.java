package org.teaseltrestle.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundInvoker;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrestle.wire.Envelope;

/** Messages of one connection that were accepted and are not written to its socket yet. */
final class WaitingMessages {

  private final TransportCounters counters;
  private final SocketAddress peer;
  private final AtomicLong bytes = new AtomicLong();

  WaitingMessages(TransportCounters counters, SocketAddress peer) {
    this.counters = counters;
    this.peer = peer;
  }

  /** Returns the bytes that wait. */
  long bytes() {
    return bytes.get();
  }

  /** Accepts a message, which must be written or discarded. */
  Message accept(Envelope envelope) {
    long size = TransportCounters.bytes(envelope);
    bytes.addAndGet(size);
    counters.addWaiting(size);
    return new Message(envelope, size);
  }

  /** Counts a message that is not accepted. */
  void refuse(Envelope envelope, DropReason reason) {
    counters.countDropped(peer, envelope, reason);
  }

  /** Ends the account; messages that still wait are released when they end. */
  void close() {
    counters.closed(this);
  }

  /** A message that waits; it is released once, when it was written or can no longer be. */
  final class Message {

    private final Envelope envelope;
    private final long size;
    private final AtomicBoolean released = new AtomicBoolean();

    private Message(Envelope envelope, long size) {
      this.envelope = envelope;
      this.size = size;
    }

    /** Writes the message without flushing it. */
    void write(ChannelOutboundInvoker channel) {
      releaseAfter(channel.write(envelope));
    }

    /** Writes and flushes the message. */
    void writeAndFlush(ChannelOutboundInvoker channel) {
      releaseAfter(channel.writeAndFlush(envelope));
    }

    /** Gives the message up. */
    void discard() {
      release(false);
    }

    private void releaseAfter(ChannelFuture written) {
      written.addListener(future -> release(future.isSuccess()));
      // The listener of a write that fails after the event loops have ended is never called.
      if (written.isDone()) {
        release(written.isSuccess());
      }
    }

    private void release(boolean sent) {
      if (!released.compareAndSet(false, true)) {
        return;
      }
      if (sent) {
        counters.countSent(envelope);
      } else {
        counters.countDropped(peer, envelope, DropReason.CONNECTION_LOST);
      }
      bytes.addAndGet(-size);
      counters.addWaiting(-size);
    }
  }
}
