package org.teaseltrestle.policy;

import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A backend server as listed in the fleet.
 *
 * @param id identifier
 * @param pool pool it belongs to
 * @param failureDomain failure domain it runs in
 * @param address base URL, used only by the relay
 * @param models models that it serves; empty for a plain service
 * @param capacity regular capacity, or preemptible capacity that the platform may reclaim at
 *     seconds' notice
 * @param state whether new work may be sent to it
 * @param role role that the platform has assigned to an engine
 * @param softwareVersion version of its software, empty if unknown; what servers of two versions
 *     write does not fit together in one stream
 */
public record BackendServer(
    BackendServerId id,
    PoolId pool,
    FailureDomain failureDomain,
    String address,
    Set<ItemName> models,
    Capacity capacity,
    State state,
    EngineRole role,
    String softwareVersion) {

  /** Copies the model names. */
  public BackendServer {
    models = Set.copyOf(models);
  }

  /** Creates a backend server whose software version is unknown. */
  public BackendServer(
      BackendServerId id,
      PoolId pool,
      FailureDomain failureDomain,
      String address,
      Set<ItemName> models,
      Capacity capacity,
      State state,
      EngineRole role) {
    this(id, pool, failureDomain, address, models, capacity, state, role, "");
  }

  /** Creates a backend server without an assigned role; its load reports carry the role. */
  public BackendServer(
      BackendServerId id,
      PoolId pool,
      FailureDomain failureDomain,
      String address,
      Set<ItemName> models,
      Capacity capacity,
      State state) {
    this(id, pool, failureDomain, address, models, capacity, state, EngineRole.MIXED);
  }

  /** Returns a copy of this server in another state. */
  public BackendServer withState(State newState) {
    return new BackendServer(
        id, pool, failureDomain, address, models, capacity, newState, role, softwareVersion);
  }

  /** Price class. */
  public enum Capacity {
    REGULAR,
    CHEAP
  }

  /** Lifecycle state, as far as routing depends on it. */
  public enum State {
    LIVE,
    /** Live, but this instance lost a connection to it: work only goes there as a last resort. */
    EJECTED,
    DRAINING,
    LEAVING
  }
}
