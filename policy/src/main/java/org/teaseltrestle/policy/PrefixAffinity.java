package org.teaseltrestle.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.PolicyConfiguration.ReplicaChoice;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * Predicts which engines hold a shared prompt prefix, without asking them: its preferred engine by
 * rendezvous hashing, on which all entry instances agree, and the engine to which this instance
 * last sent it.
 */
final class PrefixAffinity {

  /** Maximum number of shared prefixes whose last placement is retained. */
  private static final int MAXIMUM_PLACEMENTS = 4_096;

  /** Time after which an engine may have evicted a prefix that was sent to it once. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(9);

  private final Map<Long, Placement> lastPlacements =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Placement> eldest) {
          return size() > MAXIMUM_PLACEMENTS;
        }
      };

  private record Placement(BackendServerId server, long atNanos) {}

  /** Engines that are expected to hold one shared prefix. */
  record Holders(@Nullable BackendServerId preferred, @Nullable BackendServerId last) {

    static final Holders NONE = new Holders(null, null);

    boolean holds(ServerState server) {
      BackendServerId id = server.server.id();
      return id.equals(preferred) || id.equals(last);
    }
  }

  /**
   * Returns the engines that run requests and are expected to hold the shared prefix of a request.
   */
  Holders holders(
      RequestState request, List<ServerState> serving, ReplicaChoice choice, long nowNanos) {
    return holdersAmong(request, serving, choice, PrefixAffinity::mayBePreferred, nowNanos);
  }

  private static boolean mayBePreferred(ServerState server, long nowNanos) {
    return server.acceptsWork(nowNanos) && !server.isEjected();
  }

  /** Returns the prefill-only engines that are expected to hold the shared prefix of a request. */
  Holders prefillHolders(
      RequestState request, List<ServerState> serving, ReplicaChoice choice, long nowNanos) {
    return holdersAmong(request, serving, choice, ServerState::acceptsRemotePrefill, nowNanos);
  }

  /** Condition under which an engine may be the preferred one of a prefix. */
  @FunctionalInterface
  private interface Eligible {
    boolean test(ServerState server, long nowNanos);
  }

  private Holders holdersAmong(
      RequestState request,
      List<ServerState> serving,
      ReplicaChoice choice,
      Eligible eligible,
      long nowNanos) {
    long affinity = request.work.options().prefixAffinityHash();
    if (affinity == 0 || choice != ReplicaChoice.AFFINITY) {
      return Holders.NONE;
    }
    Placement last = lastPlacements.get(affinity);
    boolean recent = last != null && nowNanos - last.atNanos() < RETENTION_NANOS;
    return new Holders(
        preferredEngine(affinity, serving, eligible, nowNanos),
        recent && last != null ? last.server() : null);
  }

  /** Records that a request was sent to an engine, which prefills the shared prefix for it. */
  void recordPlacement(RequestState request, ServerState server, long nowNanos) {
    long affinity = request.work.options().prefixAffinityHash();
    if (affinity != 0) {
      lastPlacements.put(affinity, new Placement(server.server.id(), nowNanos));
    }
  }

  private static @Nullable BackendServerId preferredEngine(
      long affinity, List<ServerState> serving, Eligible eligible, long nowNanos) {
    ServerState preferred = null;
    long best = 0;
    for (ServerState server : serving) {
      long score = Rendezvous.score(affinity, server.idHash);
      if (eligible.test(server, nowNanos)
          && (preferred == null || Long.compareUnsigned(score, best) > 0)) {
        preferred = server;
        best = score;
      }
    }
    return preferred == null ? null : preferred.server.id();
  }
}
