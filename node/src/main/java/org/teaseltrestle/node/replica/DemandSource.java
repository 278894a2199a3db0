package org.teaseltrestle.node.replica;

import java.util.Map;
import org.teaseltrestle.model.ClientAccount;

/** Tells how much work each client account presently asks of this node. */
@FunctionalInterface
public interface DemandSource {

  /** Returns tokens a second by account; called from a duty thread and must not block. */
  Map<ClientAccount, Double> tokensPerSecond();
}
