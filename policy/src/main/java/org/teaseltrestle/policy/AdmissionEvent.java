package org.teaseltrestle.policy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RequestId;

/** What the admission core reacts to. */
public sealed interface AdmissionEvent {

  /** A checked request waits for a backend server. */
  record RequestArrived(WorkRequest work) implements AdmissionEvent {}

  /**
   * An attempt ended. After a failure the core answers with another dispatch or a refusal.
   *
   * @param attempt attempt number, from 1
   */
  record AttemptFinished(
      RequestId request, int attempt, BackendServerId server, AttemptOutcome outcome)
      implements AdmissionEvent {}

  /**
   * The helper of a running attempt has ended its reading of the prompt.
   *
   * @param failure null if the other engine can take the prompt's memory
   * @param nanos time that it took, in nanoseconds
   */
  record PrefillEnded(RequestId request, int attempt, @Nullable FailureKind failure, long nanos)
      implements AdmissionEvent {}

  /** One more output token of a running attempt, batched by the relay. */
  record TokensReceived(RequestId request, int count) implements AdmissionEvent {}

  /** The caller left; a queued request is dropped and a running one is cancelled. */
  record CallerLeft(RequestId request) implements AdmissionEvent {}

  /** A backend server reported its load. */
  record LoadReported(LoadReport report) implements AdmissionEvent {}

  /** A backend server was seen to be leaving, before the fleet list says so. */
  record ServerLeaving(BackendServerId server) implements AdmissionEvent {}

  /**
   * The view of a backend server's prefix cache changed.
   *
   * @param known false after a gap: the view is unknown and must not be used
   */
  record CacheChanged(BackendServerId server, boolean known, Set<String> added, Set<String> removed)
      implements AdmissionEvent {}

  /** The complete current fleet. */
  record FleetChanged(List<BackendServer> servers) implements AdmissionEvent {}

  /** The complete current limits of all client accounts, after an accepted change of the lists. */
  record ListsChanged(Map<ClientAccount, PlanLimits> limits) implements AdmissionEvent {}

  /**
   * This instance's share of each account's limits, 0 to 1.
   *
   * @param shares own part of each account's demand
   * @param totalDemand demand of each account over all instances, in tokens a second
   * @param expiresAtNanos monotonic time after which the default share applies again
   * @param defaultShare share used when cut off, 1/N of N registered instances
   */
  record SharesGranted(
      Map<ClientAccount, Double> shares,
      Map<ClientAccount, Double> totalDemand,
      long expiresAtNanos,
      double defaultShare)
      implements AdmissionEvent {}

  /** A key was withdrawn: requests of that key that still wait are refused as not run. */
  record RequestsRevoked(Set<RequestId> requests) implements AdmissionEvent {}

  /** Time has passed. */
  record Tick() implements AdmissionEvent {}
}
