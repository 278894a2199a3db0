package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LoggedCommand;

/** Notices entries of the committed log that did not arrive, and limits the rate of requests. */
final class GapDetector {

  /** Time between two requests to a parent whose messages do not show which of them it has. */
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private long requestedAtNanos;
  private long nextRequestNanos;

  GapDetector(long nowNanos) {
    this.requestedAtNanos = nowNanos;
    this.nextRequestNanos = nowNanos;
  }

  /**
   * Returns whether missing entries are to be requested, after the commands of a message of the
   * parent have been applied: the parent had sent more by then than has arrived. While entries that
   * were requested are on their way, only a message that was sent after them shows another gap; if
   * the request was lost, the answer to the next renewal does.
   */
  boolean requestsMissing(CommittedCommands message, long appliedIndex, long nowNanos) {
    long bundleSentAtNanos = message.getBundleSentAtNanos();
    boolean sentBeforeRequest = bundleSentAtNanos != 0 && bundleSentAtNanos - requestedAtNanos < 0;
    return appliedIndex < sentIndex(message) && !sentBeforeRequest && takeRequest(nowNanos);
  }

  /** Records a request unless one has just been made; returns whether it is to be sent. */
  boolean takeRequest(long nowNanos) {
    if (nowNanos - nextRequestNanos < 0) {
      return false;
    }
    requestedAtNanos = nowNanos;
    nextRequestNanos = nowNanos + REQUEST_INTERVAL_NANOS;
    return true;
  }

  /** Returns the index up to which the parent had sent entries, with this message. */
  private static long sentIndex(CommittedCommands message) {
    if (message.hasSentIndex()) {
      return message.getSentIndex();
    }
    // From earlier versions a message with commands may be a part, which is no gap; one without
    // shows that the parent has sent all it has.
    List<LoggedCommand> commands = message.getCommandsList();
    return commands.isEmpty()
        ? message.getAppliedIndex()
        : commands.get(commands.size() - 1).getIndex();
  }
}
