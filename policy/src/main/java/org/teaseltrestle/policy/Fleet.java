package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/** The backend servers that this instance may use. */
final class Fleet {

  /**
   * Time for which a server's own word that it leaves outweighs the fleet list. The list lags by
   * seconds; a server that stays after all is tried again after this time.
   */
  private static final long LEAVING_MARK_NANOS = 30_000_000_000L;

  /** Time without new work after a refusal as busy, unless a load report comes earlier. */
  private static final long BUSY_NANOS = 100_000_000L;

  /** Refusals in a row after which that time no longer doubles: an engine may be changing. */
  private static final int MAXIMUM_BUSY_DOUBLINGS = 3;

  /** Part of a pool that failures which overload can cause may eject. */
  private static final double MAXIMUM_EJECTED = 0.5;

  private final PolicyConfiguration configuration;
  private final Map<BackendServerId, ServerState> servers = new HashMap<>();
  private final Map<QueueKey, List<ServerState>> byKey = new HashMap<>();

  /** Outlives the server's entry in the list, which may lose a server and show it again. */
  private final Map<BackendServerId, Long> leavingUntil = new HashMap<>();

  private final PrefixIndex prefixes = new PrefixIndex();

  Fleet(PolicyConfiguration configuration) {
    this.configuration = configuration;
  }

  /** Takes over the complete fleet; servers that are gone stay known while attempts run there. */
  void replace(List<BackendServer> current) {
    Set<BackendServerId> listed = new HashSet<>();
    for (BackendServer server : current) {
      listed.add(server.id());
      ServerState state = servers.computeIfAbsent(server.id(), id -> newState(server));
      state.server = server;
      state.listed = true;
      if (server.role() != EngineRole.MIXED) {
        state.speed.inRole(server.role());
      }
    }
    servers.values().forEach(state -> state.listed = listed.contains(state.server.id()));
    servers.values().removeIf(state -> !state.listed && state.load.ownRunning() == 0);
    prefixes.retain(listed);
    byKey.clear();
  }

  @Nullable ServerState get(BackendServerId id) {
    return servers.get(id);
  }

  void markLeaving(BackendServerId id, long nowNanos) {
    leavingUntil.values().removeIf(until -> until <= nowNanos);
    leavingUntil.put(id, nowNanos + LEAVING_MARK_NANOS);
    ServerState state = servers.get(id);
    if (state != null) {
      state.leavingUntilNanos = nowNanos + LEAVING_MARK_NANOS;
    }
  }

  /** Returns whether any server may take this request, now or when it has room. */
  boolean canServe(RequestState request, long nowNanos) {
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos) && state.allows(request)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the servers that may take a request if they have room. An open breaker shuts a server
   * out only as long as another server accepts work.
   */
  List<ServerState> usable(RequestState request, long nowNanos) {
    List<ServerState> healthy = new ArrayList<>();
    List<ServerState> broken = new ArrayList<>(0);
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos) && state.allows(request)) {
        (isHealthy(state, request, nowNanos) ? healthy : broken).add(state);
      }
    }
    return healthy.isEmpty() ? broken : healthy;
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  /** Notes the end of an attempt for the breaker; ejects a server that fails too often. */
  void observe(
      ServerState state, RequestState request, @Nullable FailureKind failure, long nowNanos) {
    if (failure != FailureKind.REFUSED_BUSY && failure != FailureKind.CANCELLED) {
      state.busyInRow = 0;
    }
    if (failure == null) {
      state.health.succeeded();
    } else if (!ServerHealth.counts(failure)) {
      state.health.endedWithoutVerdict();
      if (failure == FailureKind.REFUSED_BUSY) {
        int doublings = Math.min(MAXIMUM_BUSY_DOUBLINGS, state.busyInRow++);
        state.busyUntilNanos = nowNanos + (BUSY_NANOS << doublings);
      } else if (failure == FailureKind.REFUSED_LEAVING) {
        markLeaving(state.server.id(), nowNanos);
      }
    } else {
      state.health.failed();
      List<ServerState> peers = serving(request);
      if (state.health.shouldOpen(meanFailureRate(peers)) && mayEject(state, failure, peers)) {
        state.health.open(nowNanos);
      }
    }
  }

  /** Takes over a load report unless a newer measurement is known. */
  void report(LoadReport report) {
    ServerState state = servers.get(report.server());
    if (state != null && state.load.reported(report)) {
      boolean listedRole = report.role() == EngineRole.MIXED;
      state.speed.inRole(listedRole ? state.server.role() : report.role());
      if (state.busyInRow <= 1) {
        // A server that goes on refusing knows better than its load.
        state.busyUntilNanos = Long.MIN_VALUE;
      }
    }
  }

  /** Forgets a server that left the list once its last attempt has ended. */
  void forgetIfGone(ServerState state) {
    if (!state.listed && state.load.ownRunning() == 0) {
      servers.remove(state.server.id());
    }
  }

  private static boolean isHealthy(ServerState state, RequestState request, long nowNanos) {
    return switch (state.health.state(nowNanos)) {
      case CLOSED -> true;
      case OPEN -> false;
      // A probe may fail after it ran, so it has to be a request that may be repeated.
      case HALF_OPEN -> request.work.repeatable() == WorkRequest.Repeatable.IDEMPOTENT;
    };
  }

  private static double meanFailureRate(List<ServerState> peers) {
    double sum = 0;
    for (ServerState peer : peers) {
      sum += peer.health.failureRate();
    }
    return peers.isEmpty() ? 0 : sum / peers.size();
  }

  private static boolean mayEject(ServerState state, FailureKind failure, List<ServerState> peers) {
    if (state.health.isOpen() || !ServerHealth.mayBeOverload(failure)) {
      return true;
    }
    long ejected = peers.stream().filter(peer -> peer.health.isOpen()).count();
    return ejected + 1 <= peers.size() * MAXIMUM_EJECTED;
  }

  private ServerState newState(BackendServer server) {
    ServerState state = new ServerState(server, configuration);
    state.leavingUntilNanos = leavingUntil.getOrDefault(server.id(), Long.MIN_VALUE);
    return state;
  }

  /** Returns the listed servers that run a request's model or service. */
  List<ServerState> serving(RequestState request) {
    return byKey.computeIfAbsent(request.queueKey, key -> collect(key, request.work.kind()));
  }

  private List<ServerState> collect(QueueKey key, WorkKind kind) {
    List<ServerState> serving = new ArrayList<>();
    for (ServerState state : servers.values()) {
      BackendServer server = state.server;
      boolean runsItem = kind == WorkKind.SERVICE_CALL || server.models().contains(key.item());
      if (state.listed && server.pool().equals(key.pool()) && runsItem) {
        serving.add(state);
      }
    }
    serving.sort((left, right) -> left.server.id().compareTo(right.server.id()));
    return serving;
  }
}
