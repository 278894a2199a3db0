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

  private final PolicyConfiguration configuration;
  private final Map<BackendServerId, ServerState> servers = new HashMap<>();
  private final Map<QueueKey, List<ServerState>> byKey = new HashMap<>();

  Fleet(PolicyConfiguration configuration) {
    this.configuration = configuration;
  }

  /** Takes over the complete fleet; servers that are gone stay known while attempts run there. */
  void replace(List<BackendServer> current) {
    Set<BackendServerId> listed = new HashSet<>();
    for (BackendServer server : current) {
      listed.add(server.id());
      ServerState state = servers.computeIfAbsent(server.id(), id -> new ServerState(server));
      state.server = server;
      state.listed = true;
    }
    servers.values().forEach(state -> state.listed = listed.contains(state.server.id()));
    servers.values().removeIf(state -> !state.listed && state.running == 0);
    byKey.clear();
  }

  @Nullable ServerState get(BackendServerId id) {
    return servers.get(id);
  }

  void markLeaving(BackendServerId id, long nowNanos) {
    ServerState state = servers.get(id);
    if (state != null) {
      state.leavingUntilNanos = nowNanos + LEAVING_MARK_NANOS;
    }
  }

  /** Returns whether any server may take this request, now or when it has room. */
  boolean canServe(RequestState request, long nowNanos) {
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the servers with room for the request; those not tried before if there are any. */
  List<ServerState> candidates(RequestState request, long nowNanos) {
    List<ServerState> fresh = new ArrayList<>();
    List<ServerState> tried = new ArrayList<>(0);
    for (ServerState state : serving(request)) {
      if (state.acceptsWork(nowNanos) && hasRoom(state)) {
        (request.tried.contains(state.server.id()) ? tried : fresh).add(state);
      }
    }
    return fresh.isEmpty() ? tried : fresh;
  }

  /** Forgets a server that left the list once its last attempt has ended. */
  void forgetIfGone(ServerState state) {
    if (!state.listed && state.running == 0) {
      servers.remove(state.server.id());
    }
  }

  private boolean hasRoom(ServerState state) {
    LoadReport report = state.report;
    return state.running < configuration.maximumRunningPerServer()
        && (report == null || report.waiting() <= configuration.maximumWaitingPerServer());
  }

  private List<ServerState> serving(RequestState request) {
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
