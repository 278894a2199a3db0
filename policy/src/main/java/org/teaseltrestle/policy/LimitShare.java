package org.teaseltrestle.policy;

/**
 * This node's share of the requests a second that a backend server takes from all nodes together.
 *
 * <p>The first few nodes in the rendezvous order of the server hold a share each and never send two
 * requests within its interval, so that their sum stays near the limit without a call between them.
 * The others send single probes, each in a slot of its own, and so learn that a limit ended of
 * which the holders send no news.
 */
final class LimitShare {

  /**
   * Rate that a lower limit is paced with: a server that is never asked could not say that its
   * limit ended.
   */
  private static final double MINIMUM_RATE = 0.25;

  private static final double MAXIMUM_RATE = 1e9;

  /** Holders in addition to two for each request a second. */
  private static final int ADDITIONAL_HOLDERS = 3;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Time from one node's probe slot to that of the next one. */
  private static final long SLOT_NANOS = 4_000_000_000L;

  /** Part of a slot in which a probe may be sent; the rest covers nodes that learned later. */
  private static final long PROBE_NANOS = 2_000_000_000L;

  private static final long MINIMUM_PROBE_PERIOD_NANOS = 10_000_000_000L;

  private Kind kind = Kind.UNLIMITED;
  private boolean hasSent;
  private long lastSentNanos;

  /** Time between two requests of a holder, or from one probe slot to the next one. */
  private long intervalNanos;

  /** Monotonic time of the last request, a real or an assumed one, that the interval follows. */
  private long pacedFromNanos;

  /** Monotonic time at which this node began to be without a share. */
  private long withoutShareFromNanos;

  /** Monotonic time before which no request is sent. */
  private long nextSendNanos;

  private enum Kind {
    UNLIMITED,
    HOLDER,
    /** Sends only probes. */
    PROBER
  }

  /**
   * Place of this node in the rendezvous order of a server.
   *
   * @param rank place among the relays, from 0; their number if this node is none of them
   * @param relays number of nodes that relay requests
   */
  record Place(int rank, int relays) {}

  /** Returns the rate, in requests a second, that a named limit is paced with. */
  static double pacedRate(double requestsPerSecond) {
    return Math.max(MINIMUM_RATE, Math.min(MAXIMUM_RATE, requestsPerSecond));
  }

  boolean isLimited() {
    return kind != Kind.UNLIMITED;
  }

  /**
   * Applies a limit. One that was unknown so far starts staggered by rank; otherwise the pacing
   * goes on from the last request.
   */
  void limit(double requestsPerSecond, Place place, long nowNanos) {
    final double rate = pacedRate(requestsPerSecond);
    final Kind before = kind;
    int holders = (int) Math.min(place.relays(), (long) Math.floor(2 * rate) + ADDITIONAL_HOLDERS);
    if (place.rank() >= holders) {
      kind = Kind.PROBER;
      if (before != Kind.PROBER) {
        withoutShareFromNanos = nowNanos;
      }
      intervalNanos = Math.max(MINIMUM_PROBE_PERIOD_NANOS, SLOT_NANOS * (place.relays() + 1));
      nextSendNanos = withoutShareFromNanos + intervalNanos + SLOT_NANOS * place.rank();
      while (hasSent && nextSendNanos < lastSentNanos + intervalNanos / 2) {
        nextSendNanos += intervalNanos;
      }
      return;
    }
    kind = Kind.HOLDER;
    intervalNanos = (long) (holders / rate * NANOS_PER_SECOND);
    if (before == Kind.UNLIMITED) {
      long stagger = (long) (place.rank() / rate * NANOS_PER_SECOND);
      long turn = (long) (NANOS_PER_SECOND / rate);
      // A node that sent nothing yet may have started anew after a request: it waits for a whole
      // interval.
      pacedFromNanos = nowNanos + stagger - (hasSent ? intervalNanos - turn : 0);
    } else if (before == Kind.PROBER) {
      pacedFromNanos = nowNanos;
    }
    nextSendNanos = pacedFromNanos + intervalNanos;
  }

  /** Ends the limit. */
  void end() {
    kind = Kind.UNLIMITED;
  }

  /** Records a request that is sent now; it takes the permission for it. */
  void sent(long nowNanos) {
    if (kind == Kind.HOLDER) {
      pacedFromNanos = nowNanos;
      nextSendNanos = nowNanos + intervalNanos;
    } else if (kind == Kind.PROBER) {
      nextSendNanos = probeSlot(nowNanos) + intervalNanos;
    }
    hasSent = true;
    lastSentNanos = nowNanos;
  }

  /** Returns whether a request may be sent now. */
  boolean hasRoom(long nowNanos) {
    return roomAtNanos(nowNanos) <= nowNanos;
  }

  /** Returns the monotonic time, not before now, from which a request may be sent. */
  long roomAtNanos(long nowNanos) {
    return switch (kind) {
      case UNLIMITED -> nowNanos;
      case HOLDER -> Math.max(nowNanos, nextSendNanos);
      case PROBER -> Math.max(nowNanos, probeSlot(nowNanos));
    };
  }

  /** Returns the monotonic time of the next request after one at the given time. */
  long roomAfterNanos(long sentNanos) {
    return kind == Kind.PROBER ? probeSlot(sentNanos) + intervalNanos : sentNanos + intervalNanos;
  }

  /** Returns the number of requests that may be sent from now on until a monotonic time. */
  long roomUntil(long untilNanos, long nowNanos) {
    long room = roomAtNanos(nowNanos);
    if (room > untilNanos) {
      return 0;
    }
    return 1 + (untilNanos - room) / Math.max(1, intervalNanos);
  }

  /** Returns the begin of the first probe slot that has not passed. */
  private long probeSlot(long nowNanos) {
    long late = nowNanos - nextSendNanos - PROBE_NANOS;
    return late < 0 ? nextSendNanos : nextSendNanos + (late / intervalNanos + 1) * intervalNanos;
  }
}
