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
 * Which engines hold the shared part of a prompt, without asking them: its home by rendezvous
 * hashing, on which all entry instances agree, and the engine that this instance sent it to last.
 */
final class PromptHomes {

  /** Shared parts remembered at most. */
  private static final int MAXIMUM_REMEMBERED = 4_096;

  /** Time after which an engine may have dropped a part that was sent to it once. */
  private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(9);

  private final Map<Long, Sent> sent =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Sent> eldest) {
          return size() > MAXIMUM_REMEMBERED;
        }
      };

  private record Sent(BackendServerId server, long atNanos) {}

  /** Engines that hold the shared part of one prompt. */
  record Holders(@Nullable BackendServerId home, @Nullable BackendServerId last) {

    static final Holders NOBODY = new Holders(null, null);

    boolean holds(ServerState server) {
      BackendServerId id = server.server.id();
      return id.equals(home) || id.equals(last);
    }
  }

  /** Returns the engines that run requests and hold the shared part of a request's prompt. */
  Holders holders(
      RequestState request, List<ServerState> serving, ReplicaChoice choice, long nowNanos) {
    return holdersAmong(request, serving, choice, ServerState::acceptsWork, nowNanos);
  }

  /** Returns the engines that only read prompts and hold the shared part of a request's prompt. */
  Holders helpers(
      RequestState request, List<ServerState> serving, ReplicaChoice choice, long nowNanos) {
    return holdersAmong(request, serving, choice, ServerState::mayHelp, nowNanos);
  }

  /** Which engines may be the home of a prompt. */
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
    long affinity = request.work.terms().affinity();
    if (affinity == 0 || choice != ReplicaChoice.AFFINITY) {
      return Holders.NOBODY;
    }
    Sent last = sent.get(affinity);
    boolean known = last != null && nowNanos - last.atNanos() < REMEMBERED_NANOS;
    return new Holders(
        home(affinity, serving, eligible, nowNanos), known && last != null ? last.server() : null);
  }

  /** Notes that a request was sent to an engine, which reads the shared part then. */
  void sent(RequestState request, ServerState server, long nowNanos) {
    long affinity = request.work.terms().affinity();
    if (affinity != 0) {
      sent.put(affinity, new Sent(server.server.id(), nowNanos));
    }
  }

  private static @Nullable BackendServerId home(
      long affinity, List<ServerState> serving, Eligible eligible, long nowNanos) {
    ServerState home = null;
    long best = 0;
    for (ServerState server : serving) {
      long score = Rendezvous.score(affinity, server.idHash);
      if (eligible.test(server, nowNanos)
          && (home == null || Long.compareUnsigned(score, best) > 0)) {
        home = server;
        best = score;
      }
    }
    return home == null ? null : home.server.id();
  }
}
