package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.ReportServerLimit;

/**
 * Commits the limits that backend servers name, one command at a time; of each server only the
 * latest report waits. Confined to the admission thread, except for the answers to commands.
 */
final class ServerLimitReporter {

  private static final EventLog LOG = EventLog.of(ServerLimitReporter.class);

  /** Maximum number of servers whose reports wait. */
  static final int MAXIMUM_PENDING = 1_024;

  private final WallClock wallClock;
  private final CommandSender sender;
  private final Counter reported;
  private final Map<BackendServerId, AdmissionAction.ReportServerLimit> pending =
      new LinkedHashMap<>();

  /**
   * Creates a reporter.
   *
   * @param afterAnswer called by any thread when {@link #flush} may send the next report
   */
  ServerLimitReporter(
      ControlGateway control, WallClock wallClock, MetricRegistry metrics, Runnable afterAnswer) {
    this.wallClock = wallClock;
    this.sender = new CommandSender(control, RelayEvent.SERVER_LIMIT_NOT_REPORTED, afterAnswer);
    this.reported = metrics.counter("server_limits.reported");
  }

  /** Adds a report, which replaces an earlier one of the same server that waits or failed. */
  void add(AdmissionAction.ReportServerLimit report) {
    String server = report.server().value();
    if (pending.size() >= MAXIMUM_PENDING && !pending.containsKey(report.server())) {
      LOG.warn(RelayEvent.SERVER_LIMIT_DROPPED, "server", server);
      return;
    }
    sender.discardFailed(command -> command.getReportServerLimit().getServer().equals(server));
    pending.put(report.server(), report);
  }

  /** Sends the oldest report, unless an earlier command is still running. */
  void flush(long nowNanos) {
    sender.flush(nowNanos, this::nextCommand);
  }

  private @Nullable Command nextCommand() {
    Iterator<AdmissionAction.ReportServerLimit> reports = pending.values().iterator();
    if (!reports.hasNext()) {
      return null;
    }
    AdmissionAction.ReportServerLimit report = reports.next();
    reports.remove();
    OptionalDouble limit = report.requestsPerSecond();
    reported.inc();
    LOG.info(
        RelayEvent.SERVER_LIMIT_REPORTED,
        "server",
        report.server(),
        "requestsPerSecond",
        ServerLimitWatch.text(limit),
        "replacedVersion",
        report.replacedVersion());
    return Command.newBuilder()
        .setRequestId("server-limit/" + UUID.randomUUID())
        .setProposedAtMillis(wallClock.nowMillis())
        .setReportServerLimit(
            ReportServerLimit.newBuilder()
                .setServer(report.server().value())
                .setRequestsPerSecond(limit.orElse(0))
                .setEnded(limit.isEmpty())
                .setReplacedVersion(report.replacedVersion()))
        .build();
  }
}
