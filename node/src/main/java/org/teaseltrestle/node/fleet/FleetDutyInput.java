package org.teaseltrestle.node.fleet;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.policy.FailureKind;

/** Input of the fleet duty's thread: results of background calls and reports of the relay. */
sealed interface FleetDutyInput {

  /** The platform's list, null if it could not be read. */
  record ListRead(@Nullable List<ListedServer> servers) implements FleetDutyInput {}

  /** A load report of an engine or of a service, or the failure to read it. */
  record LoadRead(
      BackendServerId server,
      long startedAtNanos,
      long endedAtNanos,
      @Nullable EngineLoad engine,
      @Nullable ServiceLoad service,
      @Nullable FailureKind failure)
      implements FleetDutyInput {}

  /** Cache events or a cache listing of an engine; both null if the read failed. */
  record CacheRead(
      BackendServerId server, @Nullable CacheEvents events, @Nullable CacheListing listing)
      implements FleetDutyInput {}

  /** The server rejected a request of the relay because it is leaving. */
  record LeavingReported(BackendServerId server) implements FleetDutyInput {}

  /** The relay lost a connection to the server. */
  record ConnectionLost(BackendServerId server) implements FleetDutyInput {}
}
