package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.BackendServer;

/** Backend servers known to this instance; safe for use by any thread. */
public interface ServerDirectory {

  /** Returns a backend server, or null if it is not known any more. */
  @Nullable BackendServer find(BackendServerId server);

  /** Notes that a backend server refused work because it is leaving. */
  void reportLeaving(BackendServerId server);

  /** Notes that a connection to a backend server was refused or lost. */
  void reportLost(BackendServerId server);

  /** Returns the size of one cache piece of a pool's engines in tokens, 0 if it is not known. */
  int pieceTokens(PoolId pool);
}
