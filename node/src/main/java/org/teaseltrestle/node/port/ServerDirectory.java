package org.teaseltrestle.node.port;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.BackendServer;

/** Backend servers known to this instance. Safe for use by any thread. */
public interface ServerDirectory {

  /** Returns whether the backend servers have been read, or taken from the committed fleet. */
  boolean isKnown();

  /** Returns a backend server, or null if it is no longer known. */
  @Nullable BackendServer find(BackendServerId server);

  /** Records that a backend server refused work because it is leaving the fleet. */
  void reportLeaving(BackendServerId server);

  /** Records that a connection to a backend server was refused or lost. */
  void reportLost(BackendServerId server);

  /** Returns the software versions of a pool's servers, empty if it has no servers. */
  default Set<String> softwareVersions(PoolId pool) {
    return Set.of();
  }

  /** Returns the tokens in one KV cache block of a pool's engines, 0 if not known. */
  int pieceTokens(PoolId pool);
}
