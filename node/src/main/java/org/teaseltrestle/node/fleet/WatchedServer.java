package org.teaseltrestle.node.fleet;

import org.teaseltrestle.node.port.ListedServer;

/** Polling state of one backend server of the subset. Used by the fleet duty's thread. */
final class WatchedServer {

  final CacheFollower cache;
  ListedServer entry;
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

  boolean isEngine() {
    return entry.kind() == ListedServer.Kind.ENGINE;
  }
}
