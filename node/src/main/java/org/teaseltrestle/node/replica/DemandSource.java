package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.wire.PoolDemand;

/** Supplies the current demand on this node. */
@FunctionalInterface
public interface DemandSource {

  /** Returns tokens a second by account. Called from a duty thread; must not block. */
  Map<ClientAccount, Double> tokensPerSecond();

  /** Returns the demand by pool. Called from a duty thread; must not block. */
  default List<PoolDemand> poolDemand() {
    return List.of();
  }
}
