package org.teaseltrestle.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.LeftSoftwareVersion;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlanChange;

/**
 * Backend servers as last observed, the software versions that have left lately, and the changes
 * that operators plan for servers.
 */
final class FleetArea {

  private static final long LEFT_VERSION_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

  private PersistentMap<String, BackendServerRecord> servers = PersistentMap.empty();

  /** Versions without a server, by pool and version. */
  private PersistentMap<String, LeftSoftwareVersion> leftVersions = PersistentMap.empty();

  private PersistentMap<String, PlanChange> changes = PersistentMap.empty();

  PersistentMap<String, BackendServerRecord> servers() {
    return servers;
  }

  PersistentMap<String, PlanChange> changes() {
    return changes;
  }

  PersistentMap<String, LeftSoftwareVersion> leftVersions() {
    return leftVersions;
  }

  CommandAnswer.Builder observe(
      ObserveFleet observed, AuthorityArea authority, long proposedAtMillis) {
    Optional<CommandAnswer.Builder> rejection =
        observed.getAuthorityTerm() == 0
            ? Optional.empty()
            : authority.rejection(observed.getAuthorityTerm(), "fleet");
    if (rejection.isPresent()) {
      return rejection.get();
    }
    List<BackendServerRecord> replaced = new ArrayList<>();
    for (String removed : observed.getGoneList()) {
      servers.get(removed).ifPresent(replaced::add);
      servers = servers.without(removed);
      changes = changes.without(removed);
    }
    for (BackendServerRecord server : observed.getSeenList()) {
      servers.get(server.getId()).ifPresent(replaced::add);
      servers = servers.with(server.getId(), server);
      leftVersions = leftVersions.without(versionKey(server));
    }
    recordLeftVersions(replaced, proposedAtMillis);
    return CommandAnswers.accepted("fleet");
  }

  private void recordLeftVersions(List<BackendServerRecord> replaced, long nowMillis) {
    for (LeftSoftwareVersion each : leftVersions.values()) {
      if (each.getLeftAtMillis() < nowMillis - LEFT_VERSION_RETENTION_MILLIS) {
        leftVersions = leftVersions.without(versionKey(each.getPool(), each.getSoftwareVersion()));
      }
    }
    for (BackendServerRecord server : replaced) {
      String key = versionKey(server);
      if (servers.values().stream().noneMatch(each -> versionKey(each).equals(key))) {
        leftVersions =
            leftVersions.with(
                key,
                LeftSoftwareVersion.newBuilder()
                    .setPool(server.getPool())
                    .setSoftwareVersion(server.getSoftwareVersion())
                    .setLeftAtMillis(nowMillis)
                    .build());
      }
    }
  }

  private static String versionKey(BackendServerRecord server) {
    return versionKey(server.getPool(), server.getSoftwareVersion());
  }

  private static String versionKey(String pool, String softwareVersion) {
    return pool + " " + softwareVersion;
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
    snapshot
        .addAllBackendServers(servers.values())
        .addAllPlannedChanges(changes.values())
        .addAllLeftSoftwareVersions(leftVersions.values());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getBackendServersList().forEach(s -> servers = servers.with(s.getId(), s));
    snapshot.getPlannedChangesList().forEach(c -> changes = changes.with(c.getBackendServer(), c));
    snapshot
        .getLeftSoftwareVersionsList()
        .forEach(
            left ->
                leftVersions =
                    leftVersions.with(versionKey(left.getPool(), left.getSoftwareVersion()), left));
  }
}
