package org.teaseltrestle.node.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.wire.BackendServerRecord;

/** Converts the committed fleet to the form of the platform's instance list. */
public final class CommittedFleet {

  private static final EventLog LOG = EventLog.of(CommittedFleet.class);

  private CommittedFleet() {}

  /** Returns the servers of the records; malformed records are logged and skipped. */
  public static List<ListedServer> of(Collection<BackendServerRecord> records) {
    List<ListedServer> servers = new ArrayList<>();
    for (BackendServerRecord record : records) {
      try {
        servers.add(toListedServer(record));
      } catch (TrestleException e) {
        LOG.warn(FleetEvent.INSTANCE_ENTRY_INVALID, "reason", String.valueOf(e.getMessage()));
      }
    }
    return servers;
  }

  private static ListedServer toListedServer(BackendServerRecord record) {
    Set<ItemName> models = new HashSet<>();
    record.getModelsList().forEach(model -> models.add(new ItemName(model)));
    BackendServer server =
        new BackendServer(
            new BackendServerId(record.getId()),
            new PoolId(record.getPool()),
            new FailureDomain(record.getFailureDomain()),
            record.getAddress(),
            models,
            record.getCapacity().equals("cheap")
                ? BackendServer.Capacity.CHEAP
                : BackendServer.Capacity.REGULAR,
            record.getState().equals("leaving")
                ? BackendServer.State.LEAVING
                : BackendServer.State.LIVE,
            role(record.getRole()),
            record.getSoftwareVersion());
    return new ListedServer(
        server,
        record.getKind().equals("service") ? ListedServer.Kind.SERVICE : ListedServer.Kind.ENGINE);
  }

  private static EngineRole role(String text) {
    return switch (text) {
      case "prefill" -> EngineRole.PREFILL;
      case "prefill_only" -> EngineRole.PREFILL_ONLY;
      case "decode" -> EngineRole.DECODE;
      default -> EngineRole.MIXED;
    };
  }
}
