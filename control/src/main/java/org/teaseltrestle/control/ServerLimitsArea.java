package org.teaseltrestle.control;

import java.util.Comparator;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.ReportServerLimit;
import org.teaseltrestle.wire.ServerLimit;

/**
 * Requests a second that backend servers take from all instances together, as far as they name a
 * limit. A report replaces only the version that its instance knew, so that one which was decided
 * on older knowledge changes nothing.
 */
final class ServerLimitsArea {

  /**
   * Maximum number of limits; beyond it, those of servers that the fleet doesn't list are forgotten
   * first, and the oldest ones next.
   */
  static final int CAPACITY = 1_024;

  private final FleetArea fleet;
  private PersistentMap<String, ServerLimit> limits = PersistentMap.empty();

  ServerLimitsArea(FleetArea fleet) {
    this.fleet = fleet;
  }

  PersistentMap<String, ServerLimit> limits() {
    return limits;
  }

  /**
   * Applies a report. A server that the fleet doesn't list is accepted, since instances may know it
   * before the fleet is committed.
   */
  CommandAnswer.Builder report(ReportServerLimit report, CommandContext context) {
    String server = report.getServer();
    double requestsPerSecond = report.getRequestsPerSecond();
    boolean isLimit = Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
    if (server.isEmpty() || !(report.getEnded() || isLimit)) {
      return CommandAnswers.rejected(server, "not a limit: " + requestsPerSecond);
    }
    long version = limits.get(server).map(ServerLimit::getVersion).orElse(0L);
    if (version != report.getReplacedVersion()) {
      return CommandAnswers.conflict(
          server, "the limit has version " + version + ", not " + report.getReplacedVersion());
    }
    if (report.getEnded()) {
      remove(server);
    } else {
      limits =
          limits.with(
              server,
              ServerLimit.newBuilder()
                  .setServer(server)
                  .setRequestsPerSecond(requestsPerSecond)
                  .setVersion(context.index())
                  .setReportedAtMillis(context.proposedAtMillis())
                  .build());
    }
    while (limits.size() > CAPACITY) {
      evict();
    }
    return CommandAnswers.accepted(server);
  }

  /** Forgets the limit of a server that is gone. */
  void remove(String server) {
    limits = limits.without(server);
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllServerLimits(limits.values());
  }

  void load(ControlSnapshot snapshot) {
    for (ServerLimit limit : snapshot.getServerLimitsList()) {
      limits = limits.with(limit.getServer(), limit);
    }
  }

  private void evict() {
    limits.values().stream()
        .min(
            Comparator.comparing((ServerLimit limit) -> fleet.servers().contains(limit.getServer()))
                .thenComparingLong(ServerLimit::getVersion))
        .ifPresent(limit -> remove(limit.getServer()));
  }
}
