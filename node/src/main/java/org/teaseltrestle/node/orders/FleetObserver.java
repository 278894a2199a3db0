package org.teaseltrestle.node.orders;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.ObserveFleet;

/** Compares the platform's list with the committed fleet. */
final class FleetObserver {

  private FleetObserver() {}

  /** Returns the difference to commit, or nothing if the committed fleet is up to date. */
  static Optional<ObserveFleet> difference(
      Collection<BackendServerRecord> listed, ControlView view, long term) {
    Map<String, BackendServerRecord> committed = new HashMap<>();
    view.backendServers().forEach(server -> committed.put(server.getId(), server));
    ObserveFleet.Builder difference = ObserveFleet.newBuilder().setAuthorityTerm(term);
    for (BackendServerRecord server : listed) {
      if (!server.equals(committed.remove(server.getId()))) {
        difference.addSeen(server);
      }
    }
    List<String> gone = committed.keySet().stream().sorted().toList();
    difference.addAllGone(gone);
    return difference.getSeenCount() == 0 && gone.isEmpty()
        ? Optional.empty()
        : Optional.of(difference.build());
  }
}
