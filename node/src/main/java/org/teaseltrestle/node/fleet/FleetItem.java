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

/** What the fleet duty's thread handles: results of background calls and words of the relay. */
sealed interface FleetItem {

  /** The platform's list, null if it could not be read. */
  record ListRead(@Nullable List<ListedServer> servers) implements FleetItem {}

  /** A load report of an engine or of a service, or how reading it failed. */
  record LoadRead(
      BackendServerId server,
      long begunAtNanos,
      long endedAtNanos,
      @Nullable EngineLoad engine,
      @Nullable ServiceLoad service,
      @Nullable FailureKind failure)
      implements FleetItem {}

  /** Cache events or a listing of an engine; both null if they could not be read. */
  record CacheRead(
      BackendServerId server, @Nullable CacheEvents events, @Nullable CacheListing listing)
      implements FleetItem {}

  /** The relay was refused work because the server is leaving. */
  record Leaving(BackendServerId server) implements FleetItem {}

  /** The relay lost a connection to the server. */
  record Lost(BackendServerId server) implements FleetItem {}
}
