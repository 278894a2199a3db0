package org.teaseltrestle.node.orders;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.ObserveFleet;

/** Compares the platform's list of backend servers with the committed fleet. */
final class FleetObserver {

  private FleetObserver() {}

  /** Returns the difference to commit, empty if the committed fleet matches the list. */
  static Optional<ObserveFleet> difference(
      Collection<BackendServerRecord> listed, ControlView view, long term) {
    Map<String, BackendServerRecord> committedById = new HashMap<>();
    view.backendServers().forEach(server -> committedById.put(server.getId(), server));
    ObserveFleet.Builder difference = ObserveFleet.newBuilder().setAuthorityTerm(term);
    for (BackendServerRecord server : listed) {
      if (!server.equals(committedById.remove(server.getId()))) {
        difference.addSeen(server);
      }
    }
    List<String> removed = committedById.keySet().stream().sorted().toList();
    difference.addAllGone(removed);
    return difference.getSeenCount() == 0 && removed.isEmpty()
        ? Optional.empty()
        : Optional.of(difference.build());
  }
}
