package org.teaseltrestle.node.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.wire.PlanChange;

/** Computes the states of backend servers from the list, planned changes and local observations. */
final class FleetStates {

  private FleetStates() {}

  /**
   * Returns the servers with their states. Ejections never empty a pool: they are ignored in a pool
   * whose live servers are all ejected.
   */
  static List<BackendServer> of(
      List<ListedServer> subset,
      ServerObservations observations,
      Collection<PlanChange> plannedChanges,
      long nowNanos) {
    Set<BackendServerId> draining = draining(plannedChanges);
    List<BackendServer> servers = new ArrayList<>();
    Set<PoolId> usablePools = new HashSet<>();
    for (ListedServer entry : subset) {
      BackendServer server = entry.server();
      State state = stateWithoutEjection(server, observations, draining, nowNanos);
      servers.add(server.withState(state));
      if (state == State.LIVE && !observations.isEjected(server.id(), nowNanos)) {
        usablePools.add(server.pool());
      }
    }
    servers.replaceAll(
        server ->
            server.state() == State.LIVE
                    && observations.isEjected(server.id(), nowNanos)
                    && usablePools.contains(server.pool())
                ? server.withState(State.LEAVING)
                : server);
    return servers;
  }

  private static State stateWithoutEjection(
      BackendServer server,
      ServerObservations observations,
      Set<BackendServerId> draining,
      long nowNanos) {
    if (server.state() == State.LEAVING || observations.isLeaving(server.id(), nowNanos)) {
      return State.LEAVING;
    }
    return draining.contains(server.id()) ? State.DRAINING : server.state();
  }

  private static Set<BackendServerId> draining(Collection<PlanChange> plannedChanges) {
    Set<BackendServerId> draining = new HashSet<>();
    for (PlanChange change : plannedChanges) {
      if (!change.getKind().equals("undrain")) {
        draining.add(new BackendServerId(change.getBackendServer()));
      }
    }
    return draining;
  }
}
