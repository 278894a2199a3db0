package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/** State of the backend servers that this instance may use. */
final class Fleet {

  /**
   * Time for which a server's announcement that it is leaving takes precedence over the fleet list.
   * The list lags by seconds. A server that does not leave after all is used again after this time.
   */
  private static final long LEAVING_NANOS = 30_000_000_000L;

  /** Initial backoff after a server refused a request as busy; a load report may end it earlier. */
  private static final long BUSY_BACKOFF_NANOS = 100_000_000L;

  /**
   * Maximum number of times that the backoff doubles. Repeated refusals may mean a role change,
   * which lasts seconds.
   */
  private static final int MAXIMUM_BUSY_DOUBLINGS = 3;

  /** Maximum fraction of a pool that may be ejected for failures that overload alone can cause. */
  private static final double MAXIMUM_EJECTED_FRACTION = 0.5;

  private final PolicyConfiguration configuration;
  private final Map<BackendServerId, ServerState> servers = new HashMap<>();
  private final Map<QueueKey, List<ServerState>> serversByKey = new HashMap<>();

  /** Kept apart from {@link #servers}, since the fleet list may drop a server and list it again. */
  private final Map<BackendServerId, Long> leavingUntil = new HashMap<>();

  /** Servers that announced that they are leaving, until the fleet list drops them. */
  private final Set<BackendServerId> announcedLeaving = new HashSet<>();

  private final Map<BackendServerId, Long> pausedUntil = new HashMap<>();

  private final PrefixIndex prefixes = new PrefixIndex();
  private final ServerLimits limits = new ServerLimits();

  Fleet(PolicyConfiguration configuration) {
    this.configuration = configuration;
  }

  /**
   * Applies the complete fleet list. Servers no longer listed are retained while attempts run
   * there.
   */
  void replace(List<BackendServer> current, long nowNanos) {
    Set<BackendServerId> listed = new HashSet<>();
    for (BackendServer server : current) {
      listed.add(server.id());
      ServerState state = servers.computeIfAbsent(server.id(), id -> newState(server));
      state.server = server;
      state.listed = true;
      if (server.role() != EngineRole.MIXED) {
        state.speed.setRole(server.role());
      }
    }
    servers.values().forEach(state -> state.listed = listed.contains(state.server.id()));
    // An identifier that is listed again later belongs to a new start of the server.
    announcedLeaving.retainAll(listed);
    pausedUntil.keySet().retainAll(listed);
    servers.values().forEach(this::applyAnnouncements);
    servers.values().removeIf(state -> !state.listed && state.load.ownRunning() == 0);
    prefixes.retain(listed);
    limits.replaceServers(servers.values().stream().filter(s -> s.listed).toList(), nowNanos);
    serversByKey.clear();
  }

  @Nullable ServerState get(BackendServerId id) {
    return servers.get(id);
  }

  void markLeaving(BackendServerId id, long nowNanos) {
    leavingUntil.values().removeIf(until -> until <= nowNanos);
    leavingUntil.put(id, nowNanos + LEAVING_NANOS);
    ServerState state = servers.get(id);
    if (state != null) {
      state.leavingUntilNanos = nowNanos + LEAVING_NANOS;
    }
  }

  /** Records that a server announced in a response that it is leaving. */
  void announceLeaving(BackendServerId id) {
    ServerState state = servers.get(id);
    if (state != null) {
      announcedLeaving.add(id);
      applyAnnouncements(state);
    }
  }

  /** Records until when a server wants no requests; a later time replaces an earlier one. */
  void pause(BackendServerId id, long untilNanos) {
    ServerState state = servers.get(id);
    if (state != null) {
      pausedUntil.merge(id, untilNanos, Math::max);
      applyAnnouncements(state);
    }
  }

  /**
   * Returns the shortest time until a pause ends after which a server may run this request, empty
   * if no server pauses.
   */
  Optional<Duration> shortestPause(RequestState request, long nowNanos) {
    return serving(request).stream()
        .filter(state -> state.acceptsWorkAfterPause(nowNanos) && state.allows(request))
        .filter(state -> state.pausedUntilNanos > nowNanos)
        .mapToLong(state -> state.limitShare.roomAtNanos(state.pausedUntilNanos))
        .mapToObj(room -> Duration.ofNanos(room - nowNanos))
        .min(Duration::compareTo);
  }

  /** Returns whether any server may run this request, now or once it has capacity. */
  boolean canServe(RequestState request, long nowNanos) {
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos) && state.allows(request)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a listed server, whatever its state, could go on with a request's stream. */
  boolean listsVersionOf(RequestState request) {
    return serving(request).stream()
        .filter(state -> state.server.role() != EngineRole.PREFILL_ONLY)
        .anyMatch(state -> request.fitsStream(state.server));
  }

  /**
   * Returns the servers that may run a request if they have capacity. Ejected servers are excluded
   * only if another server may run the request, then those with an open breaker likewise.
   */
  List<ServerState> usable(RequestState request, long nowNanos) {
    List<ServerState> able = new ArrayList<>();
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos) && state.allows(request)) {
        able.add(state);
      }
    }
    return preferred(
        preferred(able, state -> !state.isEjected()), state -> isHealthy(state, request, nowNanos));
  }

  /** Returns the servers that fulfil a condition, or all if none does. */
  private static List<ServerState> preferred(
      List<ServerState> servers, Predicate<ServerState> condition) {
    List<ServerState> fulfilling = new ArrayList<>(servers.size());
    for (ServerState state : servers) {
      if (condition.test(state)) {
        fulfilling.add(state);
      }
    }
    return fulfilling.isEmpty() ? servers : fulfilling;
  }

  PrefixIndex prefixes() {
    return prefixes;
  }

  ServerLimits limits() {
    return limits;
  }

  /** Records the outcome of an attempt in the breaker; ejects a server that fails too often. */
  void recordOutcome(
      ServerState state, RequestState request, @Nullable FailureKind failure, long nowNanos) {
    if (failure != FailureKind.REFUSED_BUSY && failure != FailureKind.CANCELLED) {
      state.consecutiveBusyRefusals = 0;
    }
    if (failure == null) {
      state.health.succeeded();
    } else if (!ServerHealth.isHealthFailure(failure)) {
      state.health.inconclusive();
      if (failure == FailureKind.REFUSED_BUSY) {
        int doublings = Math.min(MAXIMUM_BUSY_DOUBLINGS, state.consecutiveBusyRefusals++);
        state.busyUntilNanos = nowNanos + (BUSY_BACKOFF_NANOS << doublings);
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

  /** Applies a load report unless a later measurement is known. */
  void applyReport(LoadReport report) {
    ServerState state = servers.get(report.server());
    if (state != null && state.load.update(report)) {
      boolean usesListedRole = report.role() == EngineRole.MIXED;
      state.speed.setRole(usesListedRole ? state.server.role() : report.role());
      if (state.consecutiveBusyRefusals <= 1) {
        // After repeated refusals the backoff stands, whatever load the server reports.
        state.busyUntilNanos = Long.MIN_VALUE;
      }
    }
  }

  /** Removes a server that is no longer listed, once its last attempt has ended. */
  void removeIfUnlisted(ServerState state) {
    if (!state.listed && state.load.ownRunning() == 0) {
      servers.remove(state.server.id());
    }
  }

  private static boolean isHealthy(ServerState state, RequestState request, long nowNanos) {
    return switch (state.health.state(nowNanos)) {
      case CLOSED -> true;
      case OPEN -> false;
      // A probe may fail after the server ran it, so only repeatable requests may be probes.
      case HALF_OPEN -> request.work.repeatability() == WorkRequest.Repeatability.IDEMPOTENT;
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
    if (state.health.isOpen() || !ServerHealth.mayBeCausedByOverload(failure)) {
      return true;
    }
    long alreadyEjected = peers.stream().filter(peer -> peer.health.isOpen()).count();
    return alreadyEjected + 1 <= peers.size() * MAXIMUM_EJECTED_FRACTION;
  }

  private ServerState newState(BackendServer server) {
    ServerState state = new ServerState(server, configuration);
    state.leavingUntilNanos = leavingUntil.getOrDefault(server.id(), Long.MIN_VALUE);
    return state;
  }

  private void applyAnnouncements(ServerState state) {
    BackendServerId id = state.server.id();
    state.announcedLeaving = announcedLeaving.contains(id);
    state.pausedUntilNanos = pausedUntil.getOrDefault(id, Long.MIN_VALUE);
  }

  /** Returns the listed servers that run a request's model or service, sorted by identifier. */
  List<ServerState> serving(RequestState request) {
    List<ServerState> known = serversByKey.get(request.queueKey);
    if (known != null) {
      return known;
    }
    List<ServerState> serving = findServing(request.queueKey);
    // Callers choose the name of the model, so names that no server knows are not retained.
    if (!serving.isEmpty()) {
      serversByKey.put(request.queueKey, serving);
    }
    return serving;
  }

  /** Returns the number of pools and models whose servers are retained. */
  int retainedKeys() {
    return serversByKey.size();
  }

  private List<ServerState> findServing(QueueKey key) {
    List<ServerState> serving = new ArrayList<>();
    for (ServerState state : servers.values()) {
      BackendServer server = state.server;
      boolean runsItem =
          key.kind() == WorkKind.SERVICE_CALL || server.models().contains(key.item());
      if (state.listed && server.pool().equals(key.pool()) && runsItem) {
        serving.add(state);
      }
    }
    serving.sort((left, right) -> left.server.id().compareTo(right.server.id()));
    return serving;
  }
}
