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
    Optional<CommandAnswer.Builder> refusal =
        observed.getAuthorityTerm() == 0
            ? Optional.empty()
            : authority.refusal(observed.getAuthorityTerm(), "fleet");
    if (refusal.isPresent()) {
      return refusal.get();
    }
    for (String gone : observed.getGoneList()) {
      servers = servers.without(gone);
      changes = changes.without(gone);
    }
    for (BackendServerRecord seen : observed.getSeenList()) {
      servers = servers.with(seen.getId(), seen);
    }
    return Answers.accepted("fleet");
  }

  CommandAnswer.Builder plan(PlanChange change) {
    String server = change.getBackendServer();
    if (!servers.contains(server)) {
      return Answers.rejected(server, "no backend server has the id " + server);
    }
    switch (change.getKind()) {
      case "drain", "replace" -> changes = changes.with(server, change);
      case "undrain" -> changes = changes.without(server);
      default -> {
        return Answers.rejected(server, "unknown kind of change: " + change.getKind());
      }
    }
    return Answers.accepted(server);
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllBackendServers(servers.values()).addAllPlannedChanges(changes.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getBackendServersList().forEach(s -> servers = servers.with(s.getId(), s));
    snapshot.getPlannedChangesList().forEach(c -> changes = changes.with(c.getBackendServer(), c));
  }
}
