package org.teaseltrestle.node.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.wire.PlanChange;

/**
 * The fleet as it is announced to the admission duty. It is worked out again only after a change of
 * what decides it: with hundreds of servers that costs milliseconds, and the fleet duty asks many
 * times a second. Used by the fleet duty's thread.
 */
final class FleetAnnouncement {

  private static final Comparator<ListedServer> BY_ID =
      Comparator.comparing((ListedServer entry) -> entry.server().id());

  private final ServerMarks marks;
  private List<ListedServer> subset = List.of();
  private List<PlanChange> plannedChanges = List.of();
  private List<BackendServer> servers = List.of();
  private boolean stale = true;

  FleetAnnouncement(ServerMarks marks) {
    this.marks = marks;
  }

  /** Replaces the servers that this instance uses. */
  void use(Collection<ListedServer> chosen) {
    subset = chosen.stream().sorted(BY_ID).toList();
    stale = true;
  }

  /** Notes that a mark of a server was set, taken back or has ended. */
  void marksChanged() {
    stale = true;
  }

  /** Returns the servers with their states, the same list until their states change. */
  List<BackendServer> servers(Collection<PlanChange> currentChanges, long nowNanos) {
    // Compared by content: there are few changes, and a caller may keep one growing collection.
    List<PlanChange> changes = List.copyOf(currentChanges);
    if (stale || !changes.equals(plannedChanges)) {
      List<BackendServer> current = FleetStates.of(subset, marks, changes, nowNanos);
      plannedChanges = changes;
      stale = false;
      if (!current.equals(servers)) {
        servers = List.copyOf(current);
      }
    }
    return servers;
  }
}
