package org.teaseltrestle.node.backend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.fleet.FleetEvent;
import org.teaseltrestle.node.port.FleetSource;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.BackendServer;

/** Reads the platform's list of backend servers over HTTP; skips invalid entries. */
public final class HttpFleetSource implements FleetSource {

  private static final EventLog LOG = EventLog.of(HttpFleetSource.class);

  private final StatusReader statusReader;
  private final String platformAddress;

  /** Creates a client for the platform's base URL. */
  public HttpFleetSource(BackendHttp http, String platformAddress) {
    this.statusReader = new StatusReader(http);
    this.platformAddress = platformAddress;
  }

  @Override
  public List<ListedServer> readFleet() {
    List<ListedServer> servers = new ArrayList<>();
    JsonNode document = statusReader.getList(platformAddress, "/instances");
    for (JsonNode entry : document.path("instances")) {
      try {
        servers.add(listedServer(entry));
      } catch (TrestleException e) {
        LOG.warn(FleetEvent.INSTANCE_ENTRY_INVALID, "reason", String.valueOf(e.getMessage()));
      }
    }
    return servers;
  }

  private static ListedServer listedServer(JsonNode entry) {
    Set<ItemName> models = new HashSet<>();
    for (JsonNode model : entry.path("models")) {
      models.add(new ItemName(model.asText()));
    }
    BackendServer server =
        new BackendServer(
            new BackendServerId(entry.path("id").asText()),
            new PoolId(entry.path("pool").asText()),
            new FailureDomain(entry.path("failureDomain").asText()),
            BackendAddress.check(entry.path("address").asText()),
            models,
            entry.path("capacity").asText().equals("cheap")
                ? BackendServer.Capacity.CHEAP
                : BackendServer.Capacity.REGULAR,
            entry.path("state").asText().equals("live")
                ? BackendServer.State.LIVE
                : BackendServer.State.LEAVING);
    return new ListedServer(
        server,
        entry.path("kind").asText().equals("service")
            ? ListedServer.Kind.SERVICE
            : ListedServer.Kind.ENGINE);
  }
}
