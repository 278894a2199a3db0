package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** An instruction of the admission core to the relay. */
public sealed interface AdmissionAction {

  /**
   * Sends the request to a backend server.
   *
   * @param attempt attempt number, from 1
   * @param priority priority sent to an engine, 0 is the highest
   * @param prefillEngine engine that prefills the prompt and hands its KV cache to {@code server},
   *     null if {@code server} prefills it
   */
  record Dispatch(
      RequestId request,
      int attempt,
      BackendServerId server,
      int priority,
      @Nullable BackendServerId prefillEngine)
      implements AdmissionAction {

    /** Creates a dispatch to a backend server that prefills the prompt itself. */
    public Dispatch(RequestId request, int attempt, BackendServerId server, int priority) {
      this(request, attempt, server, priority, null);
    }
  }

  /**
   * Ends the request with a refusal.
   *
   * @param retryAfter time after which the caller may try again, null if a retry would not help
   */
  record Refuse(RequestId request, RefusalCode code, @Nullable Duration retryAfter)
      implements AdmissionAction {}

  /** Cancels a running attempt. */
  record CancelAttempt(RequestId request, int attempt, BackendServerId server)
      implements AdmissionAction {}

  /**
   * Reports what may have caused the loss of a backend server: prompt parts of a request that ran
   * there, and its fingerprint.
   *
   * @param ranNanos time from the dispatch of the request to the loss, in nanoseconds
   */
  record ReportLostParts(BackendServerId server, List<Long> parts, long ranNanos)
      implements AdmissionAction {}

  /** Reports suspects, prompt parts or a fingerprint, of a request that was answered. */
  record ReportAnsweredParts(List<Long> parts) implements AdmissionAction {}

  /**
   * Passes on to the other nodes that a server names a limit, or (empty) names none any more.
   *
   * @param replacedVersion version of the shared limit that this replaces, 0 if there was none
   */
  record ReportServerLimit(
      BackendServerId server, OptionalDouble requestsPerSecond, long replacedVersion)
      implements AdmissionAction {}

  /** Counts a retry in the metrics, by the failure that caused it. */
  record CountRetry(FailureKind reason) implements AdmissionAction {}
}
