package org.teaseltrestle.transport;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundInvoker;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.wire.Envelope;

/**
 * Messages of one connection that were accepted and are not written to its socket yet. Large
 * messages are limited by the connection, except for one that would be alone, and by the part of
 * the process that small ones do not need. Small messages have a limit of their own, so that votes,
 * heartbeats and probes pass beside large ones.
 */
final class WaitingMessages {

  /** Largest size of a small message, in bytes. */
  static final int SMALL_BYTES = 16 * 1024;

  private static final int LARGE_PER_SMALL_BYTES = 4;

  private final TransportCounters counters;
  private final ByteBudget process;
  private final SocketAddress peer;
  private final long maximumLargeBytes;
  private final AtomicLong largeBytes = new AtomicLong();
  private final AtomicLong smallBytes = new AtomicLong();
  private final AtomicLong sentBytes = new AtomicLong();

  WaitingMessages(
      TransportCounters counters, ByteBudget process, SocketAddress peer, long maximumLargeBytes) {
    this.counters = counters;
    this.process = process;
    this.peer = peer;
    this.maximumLargeBytes = maximumLargeBytes;
  }

  /** Returns the bytes that wait. */
  long bytes() {
    return largeBytes.get() + smallBytes.get();
  }

  /** Returns the bytes of the messages that were written to the socket. */
  long sentBytes() {
    return sentBytes.get();
  }

  /**
   * Accepts a message, which must then be written or discarded; returns null, and counts it as
   * dropped, if too much waits.
   */
  synchronized @Nullable Message accept(Envelope envelope) {
    long size = TransportCounters.bytes(envelope);
    AtomicLong bytes = size <= SMALL_BYTES ? smallBytes : largeBytes;
    if (bytes.get() > 0 && bytes.get() + size > maximumBytes(size)) {
      return refuse(envelope, DropReason.CONNECTION_FULL);
    }
    ByteBudget.Reservation reservation = process.open();
    if (!reservation.tryAdd(size)) {
      return refuse(envelope, DropReason.PROCESS_FULL);
    }
    bytes.addAndGet(size);
    return new Message(envelope, size, bytes, reservation);
  }

  /** Counts a message that is not accepted, and returns null. */
  @Nullable Message refuse(Envelope envelope, DropReason reason) {
    counters.countDropped(peer, envelope, reason);
    return null;
  }

  /** Ends the account; messages that still wait are released when they end. */
  void close() {
    counters.closed(this);
  }

  private long maximumBytes(long size) {
    return size <= SMALL_BYTES ? maximumLargeBytes / LARGE_PER_SMALL_BYTES : maximumLargeBytes;
  }

  /** A message that waits; it is released once, when it was written or can no longer be. */
  final class Message {

    private final Envelope envelope;
    private final long size;
    private final AtomicLong bytes;
    private final ByteBudget.Reservation reservation;
    private final AtomicBoolean released = new AtomicBoolean();

    private Message(
        Envelope envelope, long size, AtomicLong bytes, ByteBudget.Reservation reservation) {
      this.envelope = envelope;
      this.size = size;
      this.bytes = bytes;
      this.reservation = reservation;
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
        sentBytes.addAndGet(size);
      } else {
        counters.countDropped(peer, envelope, DropReason.CONNECTION_LOST);
      }
      bytes.addAndGet(-size);
      reservation.close();
    }
  }
}
