package org.teaseltrestle.policy;

import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A backend server as the fleet view knows it.
 *
 * @param id identifier
 * @param pool pool it belongs to
 * @param failureDomain failure domain it runs in
 * @param address base URL, only passed through to the relay
 * @param models models that it serves; empty for a plain service
 * @param capacity regular capacity, or cheap capacity that may vanish on seconds' notice
 * @param state whether new work may be sent to it
 * @param role what the platform has set an engine to do
 */
public record BackendServer(
    BackendServerId id,
    PoolId pool,
    FailureDomain failureDomain,
    String address,
    Set<ItemName> models,
    Capacity capacity,
    State state,
    EngineRole role) {

  /** Copies the model names. */
  public BackendServer {
    models = Set.copyOf(models);
  }

  /** Creates a backend server whose role is told by its load reports only. */
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

  /** Returns this server in another state. */
  public BackendServer in(State changed) {
    return new BackendServer(id, pool, failureDomain, address, models, capacity, changed, role);
  }

  /** Price class. */
  public enum Capacity {
    REGULAR,
    CHEAP
  }

  /** Life cycle as far as routing is concerned. */
  public enum State {
    LIVE,
    DRAINING,
    LEAVING
  }
}
