package org.teaseltrestle.control;

import java.util.Optional;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlanChange;

/** Backend servers as last observed, with the changes that operators plan for them. */
final class FleetArea {

  private PersistentMap<String, BackendServerRecord> servers = PersistentMap.empty();
  private PersistentMap<String, PlanChange> changes = PersistentMap.empty();

  PersistentMap<String, BackendServerRecord> servers() {
    return servers;
  }

  PersistentMap<String, PlanChange> changes() {
    return changes;
  }

  CommandAnswer.Builder observe(ObserveFleet observed, AuthorityArea authority) {
    Optional<CommandAnswer.Builder> rejection =
        observed.getAuthorityTerm() == 0
            ? Optional.empty()
            : authority.rejection(observed.getAuthorityTerm(), "fleet");
    if (rejection.isPresent()) {
      return rejection.get();
    }
    for (String removed : observed.getGoneList()) {
      servers = servers.without(removed);
      changes = changes.without(removed);
    }
    for (BackendServerRecord server : observed.getSeenList()) {
      servers = servers.with(server.getId(), server);
    }
    return CommandAnswers.accepted("fleet");
  }

  CommandAnswer.Builder plan(PlanChange change) {
    String server = change.getBackendServer();
    if (!servers.contains(server)) {
      return CommandAnswers.rejected(server, "no backend server has the id " + server);
    }
    switch (change.getKind()) {
      case "drain", "replace" -> changes = changes.with(server, change);
      case "undrain" -> changes = changes.without(server);
      default -> {
        return CommandAnswers.rejected(server, "unknown kind of change: " + change.getKind());
      }
    }
    return CommandAnswers.accepted(server);
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllBackendServers(servers.values()).addAllPlannedChanges(changes.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getBackendServersList().forEach(s -> servers = servers.with(s.getId(), s));
    snapshot.getPlannedChangesList().forEach(c -> changes = changes.with(c.getBackendServer(), c));
  }
}
