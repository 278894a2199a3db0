package org.teaseltrestle.policy;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** What the admission core asks the relay to do. */
public sealed interface AdmissionAction {

  /**
   * Sends the request to a backend server.
   *
   * @param attempt attempt number, from 1
   * @param priority priority passed to an engine, 0 is the highest
   * @param helper engine that reads the prompt for the other one, null if there is none
   */
  record Dispatch(
      RequestId request,
      int attempt,
      BackendServerId server,
      int priority,
      @Nullable BackendServerId helper)
      implements AdmissionAction {

    /** Creates a dispatch to a backend server that reads the prompt itself. */
    public Dispatch(RequestId request, int attempt, BackendServerId server, int priority) {
      this(request, attempt, server, priority, null);
    }
  }

  /**
   * Ends the request with a refusal.
   *
   * @param retryAfter when a new attempt by the caller makes sense, null if it does not help
   */
  record Refuse(RequestId request, RefusalCode code, @Nullable Duration retryAfter)
      implements AdmissionAction {}

  /** Cancels a running attempt. */
  record CancelAttempt(RequestId request, int attempt, BackendServerId server)
      implements AdmissionAction {}

  /** Counts a retry under its reason. */
  record CountRetry(FailureKind reason) implements AdmissionAction {}
}
