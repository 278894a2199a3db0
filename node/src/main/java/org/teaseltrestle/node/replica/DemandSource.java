package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.wire.PoolDemand;

/** Tells how much work each client account presently asks of this node. */
@FunctionalInterface
public interface DemandSource {

  /** Returns tokens a second by account; called from a duty thread and must not block. */
  Map<ClientAccount, Double> tokensPerSecond();

  /** Returns the demand by pool; called from a duty thread and must not block. */
  default List<PoolDemand> pools() {
    return List.of();
  }
}
