package org.teaseltrestle.node.relay;

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
 * One request between its arrival at the admission duty and its end. Keeps what is certain about
 * whether any of it has run. Used by one relay thread.
 */
final class RequestLife implements AutoCloseable {

  /** Ends a loop of attempts that the decisions would not end; they allow far fewer. */
  private static final int MAXIMUM_ATTEMPTS = 16;

  private static final EventLog LOG = EventLog.of(RequestLife.class);

  private final RelayContext context;
  private final Caller caller;
  private final WorkRequest work;
  private final RequestMailbox mailbox;
  private NotRun notRun = NotRun.CERTAIN;
  private boolean arrived;
  private boolean settled;
  private int attempts;

  RequestLife(RelayContext context, Caller caller, WorkRequest work, RequestMailbox mailbox) {
    this.context = context;
    this.caller = caller;
    this.work = work;
    this.mailbox = mailbox;
  }

  /**
   * Hands the request to the admission duty.
   *
   * @throws RefusalException if the duty's ring is full
   */
  void arrive() {
    context.admission().register(mailbox);
    arrived = context.admission().offer(new AdmissionEvent.RequestArrived(work));
    if (!arrived) {
      throw new RefusalException(
          RefusalCode.ADMISSION_RING_FULL, "this instance is overloaded; try again");
    }
  }

  /**
   * Waits for a backend server.
   *
   * @throws RefusalException if the request is refused
   * @throws CallerGoneException if the caller left
   */
  AdmissionAction.Dispatch awaitDispatch() {
    AdmissionAction action = mailbox.await(context.settings().decisionTimeout().toNanos());
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      checkDispatch(dispatch);
      return dispatch;
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      settled = true;
      throw refusal(refuse.code(), "the request was refused: " + refuse.code().wireName(), refuse);
    }
    throw refusal(RefusalCode.QUEUE_TIMEOUT, "no backend server became free in time", null);
  }

  /**
   * Returns the chosen backend server; one that is gone counts as a failed attempt.
   *
   * @throws AttemptFailure if the backend server is not known any more
   */
  BackendServer begin(AdmissionAction.Dispatch dispatch, AttemptHandle handle) {
    mailbox.begin(dispatch.attempt(), handle);
    BackendServer server = context.directory().find(dispatch.server());
    if (server == null) {
      throw new AttemptFailure(FailureKind.CONNECT_FAILED, "backend server is gone");
    }
    return server;
  }

  /** Reports that the answer was complete. */
  void succeeded(AdmissionAction.Dispatch dispatch, int outputTokens, long firstTokenNanos) {
    mailbox.end();
    settled = true;
    notRun = NotRun.RUN;
    finished(dispatch, new AttemptOutcome(null, outputTokens, firstTokenNanos));
  }

  /**
   * Reports a failed attempt. A cancelled one is followed by no other.
   *
   * @throws CallerGoneException if the attempt failed because the caller left
   */
  void failed(
      AdmissionAction.Dispatch dispatch, AttemptFailure failure, int tokens, long firstTokenNanos) {
    mailbox.end();
    FailureKind kind = failure.kind();
    noteRun(kind, tokens);
    context.counters().attemptFailed(kind);
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
          "reason",
          String.valueOf(failure.getMessage()));
      tellDirectory(dispatch, kind);
    }
    finished(dispatch, new AttemptOutcome(kind, tokens, firstTokenNanos));
    if (mailbox.hasCallerLeft()) {
      throw new CallerGoneException();
    }
  }

  /** Reports that the backend server refused the request itself, which ends it without a retry. */
  void rejected(AdmissionAction.Dispatch dispatch) {
    mailbox.end();
    settled = true;
    finished(dispatch, new AttemptOutcome(null, 0, 0));
  }

  /** Reports tokens of a running attempt; dropped if the duty is overloaded. */
  void tokens(int count) {
    context.admission().offer(new AdmissionEvent.TokensReceived(work.request(), count));
  }

  /** Marks that the caller can not be reached any more. */
  void callerLeft() {
    mailbox.callerLeft();
  }

  boolean hasCallerLeft() {
    return mailbox.hasCallerLeft();
  }

  /** Returns what is certain about whether any of the request has run. */
  NotRun notRun() {
    return notRun;
  }

  /** Returns a refusal that states no more than is certain. */
  RefusalException refusal(
      RefusalCode code, @Nullable String message, AdmissionAction.@Nullable Refuse refuse) {
    NotRun stated = code.notRun();
    if (notRun != NotRun.CERTAIN) {
      stated = notRun;
    } else if (code == RefusalCode.BACKEND_FAILED || code == RefusalCode.BACKEND_UNREACHABLE) {
      // Every attempt so far ended before the backend server ran anything.
      stated = NotRun.CERTAIN;
    }
    return new RefusalException(
        code,
        stated,
        message == null ? code.wireName() : message,
        refuse == null ? null : refuse.retryAfter());
  }

  @Override
  public void close() {
    context.admission().deregister(mailbox);
    if (arrived && !settled) {
      offerSurely(new AdmissionEvent.CallerLeft(work.request()));
    }
    // A decision that came too late holds a backend server's slot until it is given back.
    mailbox.close().forEach(this::giveBack);
  }

  private void checkDispatch(AdmissionAction.Dispatch dispatch) {
    RefusalCode changed = notRun == NotRun.CERTAIN ? context.gate().changedSince(caller) : null;
    if (changed != null) {
      giveBack(dispatch);
      throw refusal(changed, "the key is not valid any more", null);
    }
    boolean mayRepeat = work.repeatable() == WorkRequest.Repeatable.IDEMPOTENT;
    if (!mayRepeat && notRun != NotRun.CERTAIN) {
      LOG.error(RelayEvent.DISPATCH_REFUSED, null, "request", work.request());
      giveBack(dispatch);
      throw refusal(RefusalCode.OUTCOME_UNKNOWN, "the call may have run", null);
    }
    if (++attempts > MAXIMUM_ATTEMPTS) {
      giveBack(dispatch);
      throw refusal(RefusalCode.BACKEND_FAILED, "every attempt failed", null);
    }
  }

  private void giveBack(AdmissionAction.Dispatch dispatch) {
    finished(dispatch, new AttemptOutcome(FailureKind.CANCELLED, 0, 0));
  }

  private void finished(AdmissionAction.Dispatch dispatch, AttemptOutcome outcome) {
    offerSurely(
        new AdmissionEvent.AttemptFinished(
            dispatch.request(), dispatch.attempt(), dispatch.server(), outcome));
  }

  private void offerSurely(AdmissionEvent event) {
    if (!context.admission().offerWaiting(event)) {
      LOG.error(RelayEvent.ADMISSION_EVENT_LOST, null, "request", work.request());
    }
  }

  private void noteRun(FailureKind kind, int tokens) {
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

  private void tellDirectory(AdmissionAction.Dispatch dispatch, FailureKind kind) {
    switch (kind) {
      case REFUSED_LEAVING -> context.directory().reportLeaving(dispatch.server());
      case CONNECT_FAILED, LOST_BEFORE_ANSWER, LOST_DURING_ANSWER ->
          context.directory().reportLost(dispatch.server());
      default -> {
        // Load, timeouts and errors are weighed by the breakers of the admission decisions.
      }
    }
  }
}
