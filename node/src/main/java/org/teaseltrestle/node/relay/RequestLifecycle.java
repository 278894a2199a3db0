package org.teaseltrestle.node.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.AttemptOutcome;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.WorkRequest;

/**
 * Lifecycle of one request, from its submission to the admission duty to its end. Tracks what is
 * certain about whether any part of it has run. Confined to one relay thread.
 */
final class RequestLifecycle implements AutoCloseable {

  /** Limit against an endless loop of attempts; the admission decisions allow far fewer. */
  private static final int MAXIMUM_ATTEMPTS = 16;

  private static final int MAXIMUM_LOGGED_PARTS = 16;

  private static final EventLog LOG = EventLog.of(RequestLifecycle.class);

  private final RelayContext context;
  private final Caller caller;
  private final WorkRequest work;
  private final RequestMailbox mailbox;
  private NotRun notRun = NotRun.CERTAIN;
  private boolean submitted;
  private boolean settled;
  private AdmissionAction.@Nullable Dispatch running;
  private int attempts;

  RequestLifecycle(RelayContext context, Caller caller, WorkRequest work, RequestMailbox mailbox) {
    this.context = context;
    this.caller = caller;
    this.work = work;
    this.mailbox = mailbox;
  }

  /**
   * Submits the request to the admission duty.
   *
   * @throws RefusalException if the duty's ring is full
   */
  void submit() {
    context.admission().register(mailbox);
    submitted = context.admission().offer(new AdmissionEvent.RequestArrived(work));
    if (!submitted) {
      throw new RefusalException(
          RefusalCode.ADMISSION_RING_FULL, "this instance is overloaded; try again");
    }
  }

  /**
   * Waits until the admission duty chooses a backend server.
   *
   * @throws RefusalException if the request is refused
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  AdmissionAction.Dispatch awaitDispatch() {
    AdmissionAction action = mailbox.await(context.settings().decisionTimeout().toNanos());
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      checkDispatch(dispatch);
      running = dispatch;
      return dispatch;
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      settled = true;
      String parts =
          switch (refuse.code()) {
            case PROMPT_QUARANTINED -> " " + hexadecimalParts();
            case REQUEST_QUARANTINED -> " " + Long.toHexString(work.fingerprint());
            default -> "";
          };
      throw refusal(
          refuse.code(), "the request was refused: " + refuse.code().wireName() + parts, refuse);
    }
    if (mailbox.isEnded()) {
      RefusalCode code =
          notRun == NotRun.CERTAIN ? RefusalCode.SHUTTING_DOWN : RefusalCode.OUTCOME_UNKNOWN;
      throw refusal(code, "this instance is shutting down", null);
    }
    throw refusal(RefusalCode.QUEUE_TIMEOUT, "no backend server became free in time", null);
  }

  /**
   * Starts an attempt and returns its backend server. A removed server counts as a failed attempt.
   *
   * @throws AttemptFailure if the backend server is no longer known
   */
  BackendServer startAttempt(AdmissionAction.Dispatch dispatch, AttemptHandle handle) {
    mailbox.attemptStarted(dispatch.attempt(), handle);
    BackendServer server = context.directory().find(dispatch.server());
    if (server == null) {
      throw new AttemptFailure(FailureKind.CONNECT_FAILED, "backend server is no longer known");
    }
    return server;
  }

  /** Reports a complete response. */
  void attemptSucceeded(AdmissionAction.Dispatch dispatch, int outputTokens, long firstTokenNanos) {
    mailbox.attemptEnded();
    settled = true;
    notRun = NotRun.RUN;
    reportFinished(dispatch, new AttemptOutcome(null, outputTokens, firstTokenNanos));
  }

  /**
   * Reports a failed attempt. A cancelled one is not retried.
   *
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void attemptFailed(
      AdmissionAction.Dispatch dispatch, AttemptFailure failure, int tokens, long firstTokenNanos) {
    mailbox.attemptEnded();
    FailureKind kind = failure.kind();
    updateNotRun(kind, tokens);
    context.counters().attemptFailed(kind);
    ResponseVerdicts.reportForeignResponse(context, dispatch.request(), dispatch.server(), failure);
    if (kind != FailureKind.CANCELLED) {
      LOG.warn(
          RelayEvent.ATTEMPT_FAILED,
          "request",
          dispatch.request(),
          "attempt",
          dispatch.attempt(),
          "server",
          dispatch.server(),
          "kind",
          kind,
          "parts",
          loggedParts(kind),
          "fingerprint",
          kind.isConnectionLost() ? Long.toHexString(work.fingerprint()) : "none",
          "reason",
          String.valueOf(failure.getMessage()));
      reportToDirectory(dispatch, kind);
    }
    reportFinished(dispatch, new AttemptOutcome(kind, tokens, firstTokenNanos));
    if (mailbox.hasCallerDisconnected()) {
      throw new CallerDisconnectedException();
    }
  }

  /** Reports that the backend server rejected the request as invalid; it is not retried. */
  void requestRejected(AdmissionAction.Dispatch dispatch) {
    mailbox.attemptEnded();
    settled = true;
    reportFinished(dispatch, new AttemptOutcome(null, 0, 0));
  }

  /** Reports received tokens of the running attempt; dropped if the duty's ring is full. */
  void reportTokens(int count) {
    context.admission().offer(new AdmissionEvent.TokensReceived(work.request(), count));
  }

  /** Records that the caller has disconnected. */
  void callerDisconnected() {
    mailbox.callerDisconnected();
  }

  boolean hasCallerDisconnected() {
    return mailbox.hasCallerDisconnected();
  }

  /** Returns what is certain about whether any part of the request has run. */
  NotRun notRun() {
    return notRun;
  }

  /** Returns a refusal that claims no more about execution than is certain. */
  RefusalException refusal(
      RefusalCode code, @Nullable String message, AdmissionAction.@Nullable Refuse refuse) {
    NotRun effective = code.notRun();
    if (notRun != NotRun.CERTAIN) {
      effective = notRun;
    } else if (code == RefusalCode.BACKEND_FAILED || code == RefusalCode.BACKEND_UNREACHABLE) {
      // Every attempt so far ended before the backend server ran anything.
      effective = NotRun.CERTAIN;
    }
    return new RefusalException(
        code,
        effective,
        message == null ? code.wireName() : message,
        refuse == null ? null : refuse.retryAfter());
  }

  @Override
  public void close() {
    context.admission().deregister(mailbox);
    AdmissionAction.Dispatch unfinished = running;
    if (unfinished != null) {
      // The attempt ended in an unexpected way, which must not occupy its slot for good.
      releaseSlot(unfinished);
    }
    if (submitted && !settled) {
      offerOrLog(new AdmissionEvent.CallerDisconnected(work.request()));
    }
    // A dispatch that arrived too late occupies a backend server's slot until it is released.
    mailbox.close().forEach(this::releaseSlot);
  }

  private void checkDispatch(AdmissionAction.Dispatch dispatch) {
    RefusalCode revocation =
        notRun == NotRun.CERTAIN ? context.authenticator().revocationReason(caller) : null;
    if (revocation != null) {
      releaseSlot(dispatch);
      throw refusal(revocation, "the key is no longer valid", null);
    }
    boolean mayRepeat = work.repeatability() == WorkRequest.Repeatability.IDEMPOTENT;
    if (!mayRepeat && notRun != NotRun.CERTAIN) {
      LOG.error(RelayEvent.DISPATCH_REFUSED, null, "request", work.request());
      releaseSlot(dispatch);
      throw refusal(RefusalCode.OUTCOME_UNKNOWN, "the call may have run", null);
    }
    if (++attempts > MAXIMUM_ATTEMPTS) {
      releaseSlot(dispatch);
      throw refusal(RefusalCode.BACKEND_FAILED, "every attempt failed", null);
    }
  }

  private void releaseSlot(AdmissionAction.Dispatch dispatch) {
    reportFinished(dispatch, new AttemptOutcome(FailureKind.CANCELLED, 0, 0));
  }

  private void reportFinished(AdmissionAction.Dispatch dispatch, AttemptOutcome outcome) {
    running = null;
    offerOrLog(
        new AdmissionEvent.AttemptFinished(
            dispatch.request(), dispatch.attempt(), dispatch.server(), outcome));
  }

  private void offerOrLog(AdmissionEvent event) {
    if (!context.admission().offerBlocking(event)) {
      LOG.error(RelayEvent.ADMISSION_EVENT_LOST, null, "request", work.request());
    }
  }

  /**
   * Returns the prompt's first shared parts if the server was lost, which one of them may cause.
   */
  private List<String> loggedParts(FailureKind kind) {
    return kind.isConnectionLost() ? hexadecimalParts() : List.of();
  }

  private List<String> hexadecimalParts() {
    return work.sharedParts().stream().limit(MAXIMUM_LOGGED_PARTS).map(Long::toHexString).toList();
  }

  private void updateNotRun(FailureKind kind, int tokens) {
    if (tokens > 0 || kind == FailureKind.LOST_DURING_ANSWER) {
      notRun = NotRun.RUN;
      return;
    }
    boolean nothingRan =
        switch (kind) {
          case CONNECT_FAILED, REFUSED_LEAVING, REFUSED_BUSY -> true;
          default -> false;
        };
    if (!nothingRan && notRun == NotRun.CERTAIN) {
      notRun = NotRun.UNKNOWN;
    }
  }

  private void reportToDirectory(AdmissionAction.Dispatch dispatch, FailureKind kind) {
    switch (kind) {
      case REFUSED_LEAVING -> context.directory().reportLeaving(dispatch.server());
      case CONNECT_FAILED, LOST_BEFORE_ANSWER, LOST_DURING_ANSWER ->
          context.directory().reportLost(dispatch.server());
      default -> {
        // The circuit breakers of the admission decisions handle overload, timeouts and errors.
      }
    }
  }
}
