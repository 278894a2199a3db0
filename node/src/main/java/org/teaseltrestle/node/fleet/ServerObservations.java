package org.teaseltrestle.node.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.BackendServerId;

/**
 * Backend servers that this instance has itself observed as leaving or lost, before the instance
 * list shows it. Used by the fleet duty's thread.
 */
final class ServerObservations {

  /**
   * Time for which a server's report that it is leaving overrides the list, which lags by seconds.
   * A server that stays is used again once this time has passed since its last such report.
   */
  private static final long LEAVING_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Minimum ejection after a lost connection; a load report requested after it ends the ejection.
   */
  private static final long MINIMUM_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<BackendServerId, Long> leavingUntilNanos = new HashMap<>();
  private final Map<BackendServerId, Long> lostAtNanos = new HashMap<>();
  private final long maximumEjectionNanos;

  /**
   * Creates observations, initially none.
   *
   * @param maximumEjectionNanos time after which an ejected server is used again without a load
   *     report
   */
  ServerObservations(long maximumEjectionNanos) {
    this.maximumEjectionNanos = maximumEjectionNanos;
  }

  /** Records that a server is leaving; returns whether that was not known before. */
  boolean markLeaving(BackendServerId server, long nowNanos) {
    boolean wasLeaving = isLeaving(server, nowNanos);
    leavingUntilNanos.put(server, nowNanos + LEAVING_VALIDITY_NANOS);
    return !wasLeaving;
  }

  /** Removes the observation that a server is leaving; returns whether there was one. */
  boolean clearLeaving(BackendServerId server) {
    return leavingUntilNanos.remove(server) != null;
  }

  /** Ejects a server after a lost connection; returns whether it was not ejected before. */
  boolean markLost(BackendServerId server, long nowNanos) {
    boolean wasEjected = isEjected(server, nowNanos);
    lostAtNanos.put(server, nowNanos);
    return !wasEjected;
  }

  /**
   * Records a response to a call started at the given time; returns whether it ends an ejection.
   */
  boolean recordResponse(BackendServerId server, long startedAtNanos) {
    Long since = lostAtNanos.get(server);
    if (since != null && startedAtNanos - since >= MINIMUM_EJECTION_NANOS) {
      lostAtNanos.remove(server);
      return true;
    }
    return false;
  }

  boolean isLeaving(BackendServerId server, long nowNanos) {
    Long untilNanos = leavingUntilNanos.get(server);
    return untilNanos != null && nowNanos - untilNanos < 0;
  }

  boolean isEjected(BackendServerId server, long nowNanos) {
    Long since = lostAtNanos.get(server);
    return since != null && nowNanos - since < maximumEjectionNanos;
  }

  /** Removes expired observations; returns whether there were any. */
  boolean expire(long nowNanos) {
    boolean leavingEnded =
        leavingUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
    boolean ejectionEnded =
        lostAtNanos.values().removeIf(since -> nowNanos - since >= maximumEjectionNanos);
    return leavingEnded || ejectionEnded;
  }
}
