package org.teaseltrestle.transport;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;

/**
 * Logs when messages to a peer begin to be dropped and when none was dropped for a second. The
 * lines are written by one thread, at most one for each peer in a second and a bounded number for
 * all peers, however many messages are dropped.
 */
final class DropLog {

  /** Lines for all peers in a second; those of other peers follow in the next one. */
  static final int MAXIMUM_LINES = 20;

  static final long INTERVAL_NANOS = 1_000_000_000L;

  private static final EventLog LOG = EventLog.of(DropLog.class);
  private static final int MAXIMUM_PEERS = 512;

  private final MonotonicClock clock;
  private final Map<SocketAddress, Drops> peers = new ConcurrentHashMap<>();
  private int linesLeft = MAXIMUM_LINES;
  private long linesEndNanos;

  DropLog(MonotonicClock clock) {
    this.clock = clock;
    this.linesEndNanos = clock.nowNanos() + INTERVAL_NANOS;
  }

  /** Notes a dropped message; never blocks. */
  void dropped(SocketAddress peer, DropReason reason, String kind) {
    long now = clock.nowNanos();
    @Nullable Drops drops = peers.get(peer);
    if (drops == null) {
      if (peers.size() >= MAXIMUM_PEERS) {
        return;
      }
      drops = peers.computeIfAbsent(peer, address -> new Drops(now));
    }
    drops.add(now, reason, kind);
  }

  /** Writes the lines that are due; called by one thread. */
  void writeDueLines() {
    long now = clock.nowNanos();
    if (now - linesEndNanos >= 0) {
      linesLeft = MAXIMUM_LINES;
      linesEndNanos = now + INTERVAL_NANOS;
    }
    Iterator<Map.Entry<SocketAddress, Drops>> iterator = peers.entrySet().iterator();
    while (iterator.hasNext() && linesLeft > 0) {
      Map.Entry<SocketAddress, Drops> entry = iterator.next();
      if (entry.getValue().writeDueLine(entry.getKey(), now)) {
        linesLeft--;
      } else if (entry.getValue().isOver(now)) {
        iterator.remove();
      }
    }
  }

  /** Dropped messages to one peer. */
  private static final class Drops {

    private final LongAdder count = new LongAdder();
    private volatile long lastNanos;
    private volatile String lastReason = "";
    private volatile String lastKind = "";
    private long beganNanos;
    private long reportedCount;
    private boolean ongoing;
    private long nextLineNanos;

    Drops(long nowNanos) {
      this.lastNanos = nowNanos;
      this.nextLineNanos = nowNanos;
    }

    void add(long nowNanos, DropReason reason, String kind) {
      lastNanos = nowNanos;
      lastReason = reason.name();
      lastKind = kind;
      count.increment();
    }

    boolean writeDueLine(SocketAddress peer, long nowNanos) {
      if (nowNanos - nextLineNanos < 0) {
        return false;
      }
      long total = count.sum();
      if (!ongoing && total > reportedCount) {
        ongoing = true;
        beganNanos = nowNanos;
        LOG.warn(
            TransportEvent.MESSAGES_DROPPED, "peer", peer, "reason", lastReason, "kind", lastKind);
      } else if (ongoing && nowNanos - lastNanos >= INTERVAL_NANOS) {
        ongoing = false;
        LOG.info(
            TransportEvent.MESSAGES_NO_LONGER_DROPPED,
            "peer",
            peer,
            "dropped",
            total - reportedCount,
            "millis",
            (nowNanos - beganNanos) / 1_000_000);
        reportedCount = total;
      } else {
        return false;
      }
      nextLineNanos = nowNanos + INTERVAL_NANOS;
      return true;
    }

    boolean isOver(long nowNanos) {
      return !ongoing && nowNanos - nextLineNanos >= 0 && count.sum() == reportedCount;
    }
  }
}
