package org.teaseltrestle.node.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.wire.PlanChange;

/**
 * The fleet as it is announced to the admission duty. It is recomputed only after a change of its
 * inputs: with hundreds of servers that takes milliseconds, and the fleet duty reads it many times
 * a second. Used by the fleet duty's thread.
 */
final class FleetAnnouncement {

  private static final Comparator<ListedServer> BY_ID =
      Comparator.comparing((ListedServer entry) -> entry.server().id());

  private final ServerObservations observations;
  private List<ListedServer> subset = List.of();
  private List<PlanChange> plannedChanges = List.of();
  private List<BackendServer> servers = List.of();
  private boolean stale = true;

  FleetAnnouncement(ServerObservations observations) {
    this.observations = observations;
  }

  /** Replaces the servers that this instance uses. */
  void setSubset(Collection<ListedServer> chosen) {
    subset = chosen.stream().sorted(BY_ID).toList();
    stale = true;
  }

  /** Records that a server's local observations were set, cleared or have expired. */
  void observationsChanged() {
    stale = true;
  }

  /** Returns the servers with their states; the same list until a server or a state changes. */
  List<BackendServer> servers(Collection<PlanChange> currentChanges, long nowNanos) {
    // Copied and compared by content, since the caller may pass one collection that it modifies.
    List<PlanChange> changes = List.copyOf(currentChanges);
    if (stale || !changes.equals(plannedChanges)) {
      List<BackendServer> current = FleetStates.of(subset, observations, changes, nowNanos);
      plannedChanges = changes;
      stale = false;
      if (!current.equals(servers)) {
        servers = List.copyOf(current);
      }
    }
    return servers;
  }
}
