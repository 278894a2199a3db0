package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.LoggedCommand;

/** Notices entries of the committed log that did not arrive, and limits the rate of requests. */
final class GapDetector {

  /** Time in which the entries that were requested may arrive. */
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private long nextRequestNanos;

  GapDetector(long nowNanos) {
    this.nextRequestNanos = nowNanos;
  }

  /**
   * Returns whether missing entries are to be requested, after the commands of a message have been
   * applied. A message with commands may be a part, which is no gap; one without shows that the
   * parent has sent all it has.
   */
  boolean requestsMissing(CommittedCommands message, long appliedIndex, long nowNanos) {
    List<LoggedCommand> commands = message.getCommandsList();
    long sentIndex =
        commands.isEmpty()
            ? message.getAppliedIndex()
            : commands.get(commands.size() - 1).getIndex();
    if (appliedIndex >= sentIndex || nowNanos - nextRequestNanos < 0) {
      return false;
    }
    nextRequestNanos = nowNanos + REQUEST_INTERVAL_NANOS;
    return true;
  }
}
