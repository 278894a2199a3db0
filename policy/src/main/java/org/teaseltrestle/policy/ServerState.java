package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;

/** What this instance knows of one backend server. */
final class ServerState {

  BackendServer server;
  @Nullable LoadReport report;

  /** Running attempts of this instance. */
  int running;

  /** Monotonic time until which the server counts as leaving, whatever the fleet list says. */
  long leavingUntilNanos = Long.MIN_VALUE;

  /** Whether the fleet list still names the server. */
  boolean listed = true;

  ServerState(BackendServer server) {
    this.server = server;
  }

  /** Returns whether new work may be sent. */
  boolean acceptsWork(long nowNanos) {
    return listed
        && server.state() == BackendServer.State.LIVE
        && nowNanos >= leavingUntilNanos
        && (report == null || report.role() != EngineRole.CHANGING);
  }
}
