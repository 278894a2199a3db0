package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;

/** What a leader knows about one other member. */
final class PeerProgress {

  /** First index to send next. */
  long nextIndex;

  /** Last index known to agree. */
  long matchIndex;

  /** Whether the newest request awaits its answer. */
  boolean awaitingAnswer;

  /** Send time of the newest request; answers to older ones trigger no further request. */
  long newestSendNanos;

  /** Whether the member has answered in this term. */
  boolean acknowledged;

  /** Send time, by the leader's clock, of the newest request that the member has answered. */
  long acknowledgedSendNanos;

  /** Snapshot under transfer. */
  @Nullable Snapshot transfer;

  /** Offset of the next chunk of the snapshot. */
  int transferOffset;

  PeerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  void requestSent(long nowNanos) {
    awaitingAnswer = true;
    newestSendNanos = nowNanos;
  }

  void acknowledge(long sentAtNanos) {
    if (sentAtNanos == newestSendNanos) {
      awaitingAnswer = false;
    }
    if (!acknowledged || sentAtNanos - acknowledgedSendNanos > 0) {
      acknowledged = true;
      acknowledgedSendNanos = sentAtNanos;
    }
  }

  void matched(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }
}
