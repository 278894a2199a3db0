package org.teaseltrestle.node.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.wire.PlanChange;

/** Computes the states of backend servers from the list, planned changes and local observations. */
final class FleetStates {

  private FleetStates() {}

  /** Returns the servers with their states. */
  static List<BackendServer> of(
      List<ListedServer> subset,
      ServerObservations observations,
      Collection<PlanChange> plannedChanges,
      long nowNanos) {
    Set<BackendServerId> draining = draining(plannedChanges);
    List<BackendServer> servers = new ArrayList<>();
    for (ListedServer entry : subset) {
      BackendServer server = entry.server();
      servers.add(server.withState(state(server, observations, draining, nowNanos)));
    }
    return servers;
  }

  private static State state(
      BackendServer server,
      ServerObservations observations,
      Set<BackendServerId> draining,
      long nowNanos) {
    if (server.state() == State.LEAVING || observations.isLeaving(server.id(), nowNanos)) {
      return State.LEAVING;
    }
    if (draining.contains(server.id())) {
      return State.DRAINING;
    }
    return server.state() == State.LIVE && observations.isEjected(server.id(), nowNanos)
        ? State.EJECTED
        : server.state();
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
