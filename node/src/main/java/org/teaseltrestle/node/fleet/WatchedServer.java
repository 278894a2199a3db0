package org.teaseltrestle.node.fleet;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.FailureKind;

/** Polling state of one backend server of the subset. Used by the fleet duty's thread. */
final class WatchedServer {

  private static final int FAILED_LOADS_BEFORE_LOST = 3;

  final PrefixCacheView cache;
  ListedServer entry;
  int failedLoads;
  boolean loadReadRunning;
  boolean cacheReadRunning;
  long nextLoadNanos;
  long nextCacheNanos;

  WatchedServer(ListedServer entry, long nowNanos) {
    this.entry = entry;
    this.cache = new PrefixCacheView(entry.server().id());
    this.nextLoadNanos = nowNanos;
    this.nextCacheNanos = nowNanos;
  }

  /**
   * Records the result of a load call, null for success; returns whether the server counts as lost.
   * A refused connection counts immediately. A single interrupted or slow call does not, since an
   * idle connection may be stale and a busy server may be slow.
   */
  boolean recordLoadResult(@Nullable FailureKind failure) {
    if (failure == null || failure == FailureKind.SERVER_ERROR) {
      failedLoads = 0;
      return false;
    }
    failedLoads++;
    return failure == FailureKind.CONNECT_FAILED || failedLoads >= FAILED_LOADS_BEFORE_LOST;
  }

  boolean isEngine() {
    return entry.kind() == ListedServer.Kind.ENGINE;
  }
}
