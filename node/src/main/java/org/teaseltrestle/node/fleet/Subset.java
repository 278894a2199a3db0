package org.teaseltrestle.node.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32C;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;

/**
 * Selects the backend servers that one instance uses: of each kind in a pool those with the highest
 * rendezvous hash, own failure domain first. Each instance computes its subset independently, the
 * subsets are distributed evenly, and a change of the list replaces few members.
 */
final class Subset {

  private Subset() {}

  static List<ListedServer> choose(List<ListedServer> listed, FleetSettings settings) {
    Map<ServerKind, List<ListedServer>> kinds = new LinkedHashMap<>();
    for (ListedServer entry : listed) {
      kinds.computeIfAbsent(ServerKind.of(entry.server()), kind -> new ArrayList<>()).add(entry);
    }
    List<ListedServer> chosen = new ArrayList<>();
    for (List<ListedServer> servers : kinds.values()) {
      servers.sort(preference(settings));
      chosen.addAll(servers.subList(0, Math.min(settings.subsetSize(), servers.size())));
    }
    return chosen;
  }

  /** Live servers come first, so that leaving ones do not use up the subset. */
  private static Comparator<ListedServer> preference(FleetSettings settings) {
    Comparator<ListedServer> live =
        Comparator.comparing(entry -> entry.server().state() != BackendServer.State.LIVE);
    return live.thenComparing(
            entry -> !entry.server().failureDomain().equals(settings.failureDomain()))
        .thenComparing(entry -> -rendezvousHash(settings, entry))
        .thenComparing(entry -> entry.server().id());
  }

  private static long rendezvousHash(FleetSettings settings, ListedServer entry) {
    CRC32C hash = new CRC32C();
    String text = settings.instance().value() + '\n' + entry.server().id().value();
    hash.update(text.getBytes(StandardCharsets.UTF_8));
    // CRC is linear: without a final mix, all instances would order the servers similarly.
    long mixed = hash.getValue() * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return (mixed ^ (mixed >>> 32)) >>> 1;
  }

  /** What decides which requests a server may run; servers of one kind can replace each other. */
  private record ServerKind(
      PoolId pool,
      Set<ItemName> models,
      BackendServer.Capacity capacity,
      boolean prefillOnly,
      String softwareVersion) {

    static ServerKind of(BackendServer server) {
      return new ServerKind(
          server.pool(),
          server.models(),
          server.capacity(),
          server.role() == EngineRole.PREFILL_ONLY,
          server.softwareVersion());
    }
  }
}
