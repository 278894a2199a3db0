package org.teaseltrestle.node.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Messages that one child has been sent and has not acknowledged, within its own bound and that of
 * the process. Messages that are overdue count for the child only, so that children which receive
 * nothing do not keep the log from others. Used by one duty thread.
 */
final class FeedWindow {

  /** Time after which a message that is not acknowledged is overdue. */
  private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final FeedBudget budget;
  private final Deque<Sent> unacknowledged = new ArrayDeque<>();
  private long bytes;

  private static final class Sent {
    final long position;
    final long overdueAtNanos;
    final int bytes;
    int budgetedBytes;

    Sent(long position, int bytes, long overdueAtNanos) {
      this.position = position;
      this.overdueAtNanos = overdueAtNanos;
      this.bytes = bytes;
      this.budgetedBytes = bytes;
    }
  }

  FeedWindow(FeedBudget budget) {
    this.budget = budget;
  }

  /** Returns the bytes that are not acknowledged. */
  long bytes() {
    return bytes;
  }

  /** Returns whether a message fits into the window; a single one always does. */
  boolean hasRoom(int messageBytes, int windowBytes) {
    return bytes == 0 || bytes + messageBytes <= windowBytes;
  }

  /**
   * Records a message.
   *
   * @param position where it ends: an index of the log, or a place in a state
   */
  void sent(long position, int messageBytes, long nowNanos) {
    unacknowledged.add(new Sent(position, messageBytes, nowNanos + OVERDUE_NANOS));
    bytes += messageBytes;
    budget.add(messageBytes);
  }

  /**
   * Records that the child has everything up to a position.
   *
   * @return whether that was news
   */
  boolean acknowledged(long position) {
    boolean progress = false;
    while (!unacknowledged.isEmpty() && unacknowledged.element().position <= position) {
      Sent first = unacknowledged.remove();
      bytes -= first.bytes;
      releaseBudget(first);
      progress = true;
    }
    return progress;
  }

  /** Returns the bytes of overdue messages to the budget. */
  void releaseOverdue(long nowNanos) {
    for (Sent each : unacknowledged) {
      if (nowNanos - each.overdueAtNanos < 0) {
        return;
      }
      releaseBudget(each);
    }
  }

  /** Forgets all messages: they are lost, or nobody waits for them. */
  void clear() {
    unacknowledged.forEach(this::releaseBudget);
    unacknowledged.clear();
    bytes = 0;
  }

  private void releaseBudget(Sent message) {
    budget.release(message.budgetedBytes);
    message.budgetedBytes = 0;
  }
}
