package org.teaseltrestle.consensus;

import org.jspecify.annotations.Nullable;

/** Replication progress of one other member, as known to the leader. */
final class PeerProgress {

  /** Index of the next entry to send. */
  long nextIndex;

  /** Last index at which the member's log is known to match the leader's. */
  long matchIndex;

  /** Whether the latest request has no response yet. */
  boolean requestInFlight;

  /** Send time of the latest request; responses to earlier ones do not trigger another request. */
  long latestSendNanos;

  /**
   * Whether entries or a part of a snapshot are on their way: the request has no response yet, and
   * no later one has. Messages arrive in order, so the response to a later request shows that they
   * are lost.
   */
  boolean contentInFlight;

  /** Send time of the latest request with entries or a part of a snapshot. */
  private long contentSendNanos;

  /** Whether the member has responded in this term. */
  boolean acknowledged;

  /** Send time, by the leader's clock, of the latest request that the member responded to. */
  long acknowledgedSendNanos;

  /** Snapshot in transfer to the member, if any. */
  @Nullable Snapshot snapshotInTransfer;

  /** Offset of the next snapshot chunk in bytes. */
  int snapshotOffset;

  PeerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  void recordSend(long nowNanos, boolean withContent) {
    requestInFlight = true;
    latestSendNanos = nowNanos;
    if (withContent) {
      contentInFlight = true;
      contentSendNanos = nowNanos;
    }
  }

  void recordAcknowledgement(long sentAtNanos) {
    if (sentAtNanos == latestSendNanos) {
      requestInFlight = false;
    }
    if (sentAtNanos - contentSendNanos >= 0) {
      contentInFlight = false;
    }
    if (!acknowledged || sentAtNanos - acknowledgedSendNanos > 0) {
      acknowledged = true;
      acknowledgedSendNanos = sentAtNanos;
    }
  }

  /** Begins to send a snapshot in place of entries. */
  void startTransfer(Snapshot snapshot) {
    snapshotInTransfer = snapshot;
    snapshotOffset = 0;
    contentInFlight = false;
  }

  void recordMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }
}
