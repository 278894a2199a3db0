package org.teaseltrestle.node.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.BackendServerId;

/**
 * What this instance itself learned about backend servers, ahead of the lagging instance list. Used
 * by the fleet duty's thread.
 */
final class ServerMarks {

  /**
   * Time for which a server's own word outweighs the list, which lags by seconds. A server that
   * stays after all says so in its next load report.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Shortest ejection after a lost connection; the next load report after it ends it. */
  private static final long EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<BackendServerId, Long> leavingUntil = new HashMap<>();
  private final Map<BackendServerId, Long> lostAt = new HashMap<>();
  private final long longestEjectionNanos;

  /**
   * Creates marks.
   *
   * @param longestEjectionNanos time after which a server is tried again even without a load report
   */
  ServerMarks(long longestEjectionNanos) {
    this.longestEjectionNanos = longestEjectionNanos;
  }

  /** Marks a leaving server; returns whether that is new. */
  boolean leaving(BackendServerId server, long nowNanos) {
    boolean known = isLeaving(server, nowNanos);
    leavingUntil.put(server, nowNanos + LEAVING_NANOS);
    return !known;
  }

  /** Takes a leaving mark back; returns whether there was one. */
  boolean returned(BackendServerId server) {
    return leavingUntil.remove(server) != null;
  }

  /** Marks a server whose connection was lost; returns whether that is new. */
  boolean lost(BackendServerId server, long nowNanos) {
    boolean known = isEjected(server, nowNanos);
    lostAt.put(server, nowNanos);
    return !known;
  }

  /** Notes an answer to a call that began at a time; returns whether an ejection ends with it. */
  boolean answered(BackendServerId server, long begunAtNanos) {
    Long since = lostAt.get(server);
    if (since != null && begunAtNanos - since >= EJECTION_NANOS) {
      lostAt.remove(server);
      return true;
    }
    return false;
  }

  boolean isLeaving(BackendServerId server, long nowNanos) {
    Long until = leavingUntil.get(server);
    return until != null && nowNanos - until < 0;
  }

  boolean isEjected(BackendServerId server, long nowNanos) {
    Long since = lostAt.get(server);
    return since != null && nowNanos - since < longestEjectionNanos;
  }

  /** Forgets marks that have ended; returns whether there were any. */
  boolean expire(long nowNanos) {
    boolean returned = leavingUntil.values().removeIf(until -> nowNanos - until >= 0);
    boolean tried = lostAt.values().removeIf(since -> nowNanos - since >= longestEjectionNanos);
    return returned || tried;
  }
}
