package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;

/** What this instance knows of one backend server. */
final class ServerState {

  BackendServer server;
  @Nullable LoadReport report;

  /** Running attempts of this instance. */
  int running;

  final ServerHealth health = new ServerHealth();

  /** Monotonic time until which a server that refused as busy gets nothing. */
  long busyUntilNanos = Long.MIN_VALUE;

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
