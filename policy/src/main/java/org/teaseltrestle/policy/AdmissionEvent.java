package org.teaseltrestle.policy;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RequestId;

/** An input of the admission core. */
public sealed interface AdmissionEvent {

  /** A validated request arrived and needs a backend server. */
  record RequestArrived(WorkRequest work) implements AdmissionEvent {}

  /**
   * An attempt ended. After a failure the core returns another dispatch or a refusal.
   *
   * @param attempt attempt number, from 1
   */
  record AttemptFinished(
      RequestId request, int attempt, BackendServerId server, AttemptOutcome outcome)
      implements AdmissionEvent {}

  /**
   * The remote prefill of a running attempt ended.
   *
   * @param failure null if the KV cache of the prompt is ready for the engine that runs the attempt
   * @param nanos duration of the prefill in nanoseconds
   */
  record PrefillFinished(RequestId request, int attempt, @Nullable FailureKind failure, long nanos)
      implements AdmissionEvent {}

  /** Output tokens of a running attempt arrived; the relay batches them. */
  record TokensReceived(RequestId request, int count) implements AdmissionEvent {}

  /** The caller disconnected; a queued request is dropped and a running one is cancelled. */
  record CallerDisconnected(RequestId request) implements AdmissionEvent {}

  /** A backend server reported its load. */
  record LoadReported(LoadReport report) implements AdmissionEvent {}

  /** A backend server refused work because it is leaving, before the fleet list shows it. */
  record ServerLeaving(BackendServerId server) implements AdmissionEvent {}

  /** A response of a backend server announced that it is leaving: it must get no new work. */
  record LeavingAnnounced(BackendServerId server) implements AdmissionEvent {}

  /**
   * A backend server turned a request away and wants no more from this instance for a while.
   *
   * @param untilNanos monotonic time at which it may be used again
   */
  record ServerPaused(BackendServerId server, long untilNanos) implements AdmissionEvent {}

  /**
   * The known content of a backend server's prefix cache changed.
   *
   * @param known false after a gap in the cache events: the content is unknown and must not be used
   */
  record CacheChanged(BackendServerId server, boolean known, Set<String> added, Set<String> removed)
      implements AdmissionEvent {}

  /** The fleet changed; carries the complete list. */
  record FleetChanged(List<BackendServer> servers) implements AdmissionEvent {}

  /** The operators' lists changed; carries the complete limits of all client accounts. */
  record ListsChanged(Map<ClientAccount, PlanLimits> limits) implements AdmissionEvent {}

  /**
   * The leader granted this instance its share of each account's limits, 0 to 1.
   *
   * @param shares fraction of each account's demand that arrives at this instance
   * @param totalDemand demand of each account over all instances, in tokens per second
   * @param expiresAtNanos monotonic time after which the default share applies again
   * @param defaultShare share that applies without a valid grant, 1/N for N registered instances
   */
  record SharesGranted(
      Map<ClientAccount, Double> shares,
      Map<ClientAccount, Double> totalDemand,
      long expiresAtNanos,
      double defaultShare)
      implements AdmissionEvent {}

  /** An API key was withdrawn: its requests that still wait are refused as not run. */
  record RequestsRevoked(Set<RequestId> requests) implements AdmissionEvent {}

  /**
   * The prompt parts and requests that are suspected to crash backend servers changed.
   *
   * @param lossesByPart for each part or fingerprint, how often servers that ran it were lost since
   *     its last answer
   */
  record SuspectPartsChanged(Map<Long, Integer> lossesByPart) implements AdmissionEvent {}

  /**
   * A response of a backend server named the requests a second that it takes from all nodes, or
   * none.
   *
   * @param requestsPerSecond empty if the response names no limit
   * @param sentAtNanos monotonic time at which the request was sent
   */
  record ServerLimitNamed(
      BackendServerId server, OptionalDouble requestsPerSecond, long sentAtNanos)
      implements AdmissionEvent {}

  /** The limits that nodes have passed on changed; carries all of them. */
  record ServerLimitsShared(Map<BackendServerId, SharedServerLimit> limits)
      implements AdmissionEvent {}

  /**
   * The nodes that relay requests changed; carries all of them.
   *
   * @param self this node
   */
  record RelaysChanged(List<String> relays, String self) implements AdmissionEvent {}

  /** Time has passed; lets the core refuse expired requests and dispatch waiting ones. */
  record Tick() implements AdmissionEvent {}
}
