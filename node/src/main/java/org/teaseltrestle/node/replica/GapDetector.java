package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LoggedCommand;

/** Notices entries of the committed log that did not arrive, and limits the rate of requests. */
final class GapDetector {

  /** Time between two requests to a parent whose messages do not show which of them it has. */
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time after which a request that no message follows may be lost. */
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private long requestedAtNanos;
  private long nextRequestNanos;
  private long repeatRequestNanos;

  GapDetector(long nowNanos) {
    this.requestedAtNanos = nowNanos;
    this.nextRequestNanos = nowNanos;
    this.repeatRequestNanos = nowNanos;
  }

  /**
   * Returns whether missing entries are to be requested, after the commands of a message of the
   * parent have been applied: the parent had sent more by then than has arrived. While entries that
   * were requested are on their way, only a message that was sent after them shows another gap.
   */
  boolean requestsMissing(CommittedCommands message, long appliedIndex, long nowNanos) {
    if (appliedIndex >= sentIndex(message) || nowNanos - nextRequestNanos < 0) {
      return false;
    }
    long bundleSentAtNanos = message.getBundleSentAtNanos();
    boolean sentBeforeRequest = bundleSentAtNanos != 0 && bundleSentAtNanos - requestedAtNanos < 0;
    if (sentBeforeRequest && nowNanos - repeatRequestNanos < 0) {
      return false;
    }
    requestMade(nowNanos);
    return true;
  }

  /** Records a request unless one has just been made; returns whether it is to be sent. */
  boolean takeRequest(long nowNanos) {
    if (nowNanos - nextRequestNanos < 0) {
      return false;
    }
    requestMade(nowNanos);
    return true;
  }

  /** Records a request for entries that are missing. */
  private void requestMade(long nowNanos) {
    requestedAtNanos = nowNanos;
    nextRequestNanos = nowNanos + REQUEST_INTERVAL_NANOS;
    repeatRequestNanos = nowNanos + REQUEST_TIMEOUT_NANOS;
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
