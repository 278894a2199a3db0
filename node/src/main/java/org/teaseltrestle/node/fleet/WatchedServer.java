package org.teaseltrestle.node.fleet;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.FailureKind;

/** Polling state of one backend server of the subset. Used by the fleet duty's thread. */
final class WatchedServer {

  private static final int FAILED_LOADS_OF_LOST_SERVER = 3;

  final CacheFollower cache;
  ListedServer entry;
  int failedLoads;
  boolean loadRunning;
  boolean cacheRunning;
  long nextLoadNanos;
  long nextCacheNanos;

  WatchedServer(ListedServer entry, long nowNanos) {
    this.entry = entry;
    this.cache = new CacheFollower(entry.server().id());
    this.nextLoadNanos = nowNanos;
    this.nextCacheNanos = nowNanos;
  }

  /**
   * Takes the end of a load call; returns whether the server counts as lost. A refused connection
   * counts at once. A single broken or slow call does not: an idle connection may be stale, and a
   * busy server slow.
   */
  boolean isLost(@Nullable FailureKind failure) {
    if (failure == null || failure == FailureKind.SERVER_ERROR) {
      failedLoads = 0;
      return false;
    }
    failedLoads++;
    return failure == FailureKind.CONNECT_FAILED || failedLoads >= FAILED_LOADS_OF_LOST_SERVER;
  }

  boolean isEngine() {
    return entry.kind() == ListedServer.Kind.ENGINE;
  }
}
