package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.SharedServerLimit;
import org.teaseltrestle.wire.ServerLimit;

/**
 * Limits of backend servers in the committed log, as far as the decisions know them. Confined to
 * the admission thread.
 */
final class SharedServerLimits {

  private static final EventLog LOG = EventLog.of(SharedServerLimits.class);

  private final WallClock wallClock;
  private final Counter count;
  private Collection<ServerLimit> applied = List.of();
  private Map<BackendServerId, SharedServerLimit> limits = Map.of();

  SharedServerLimits(WallClock wallClock, MetricRegistry metrics) {
    this.wallClock = wallClock;
    this.count = metrics.counter("server_limits.shared");
  }

  /** Returns the event that tells the decisions of a change since the last call. */
  Optional<AdmissionEvent.ServerLimitsShared> change(ControlView view) {
    Collection<ServerLimit> latest = view.serverLimits();
    if (latest == applied) {
      return Optional.empty();
    }
    applied = latest;
    Map<BackendServerId, SharedServerLimit> changed = new LinkedHashMap<>();
    for (ServerLimit limit : latest) {
      BackendServerId server = new BackendServerId(limit.getServer());
      SharedServerLimit next =
          new SharedServerLimit(limit.getRequestsPerSecond(), limit.getVersion());
      changed.put(server, next);
      if (!next.equals(limits.get(server))) {
        LOG.info(
            RelayEvent.SHARED_LIMIT_APPLIED,
            "server",
            server,
            "requestsPerSecond",
            next.requestsPerSecond(),
            "version",
            next.version(),
            "ageMillis",
            wallClock.nowMillis() - limit.getReportedAtMillis());
      }
    }
    limits.forEach(
        (server, limit) -> {
          if (!changed.containsKey(server)) {
            LOG.info(RelayEvent.SHARED_LIMIT_ENDED, "server", server, "version", limit.version());
          }
        });
    count.inc(changed.size() - limits.size());
    limits = Map.copyOf(changed);
    return Optional.of(new AdmissionEvent.ServerLimitsShared(limits));
  }
}
