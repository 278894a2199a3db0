package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ServiceAnswer;
import org.teaseltrestle.node.port.ServiceCall;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.WorkRequest;

/**
 * Runs one call of a plain service. Answers up to a bound are received as a whole and checked
 * before the caller sees a byte; longer ones are passed on as they come, and a cut one ends with
 * the connection closed instead of a regular end.
 */
final class ServiceRun {

  private static final int WHOLE_ANSWER_BYTES = 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayContext context;
  private final Caller caller;
  private final ServiceRequest call;
  private final RequestLife life;
  private final CallerResponse response;
  private @Nullable ServiceOutcome errorAnswer;

  ServiceRun(
      RelayContext context,
      Caller caller,
      ServiceRequest call,
      RequestLife life,
      CallerResponse response) {
    this.context = context;
    this.caller = caller;
    this.call = call;
    this.life = life;
    this.response = response;
  }

  /**
   * Runs the call.
   *
   * @return the whole answer, or null if a long one was passed on already
   * @throws RefusalException if the call is refused or fails
   * @throws CallerGoneException if the caller left
   */
  @Nullable ServiceOutcome run() {
    life.arrive();
    while (true) {
      AdmissionAction.Dispatch dispatch;
      try {
        dispatch = life.awaitDispatch();
      } catch (RefusalException e) {
        ServiceOutcome error = errorAnswer;
        if (error != null) {
          // No further attempt is allowed: the service's own error is the answer.
          return error;
        }
        throw e;
      }
      Attempt attempt = new Attempt(dispatch);
      if (attempt.run()) {
        return attempt.outcome;
      }
    }
  }

  /** Returns what is certain about whether the service has run the call. */
  NotRun notRun() {
    return errorAnswer != null ? NotRun.RUN : life.notRun();
  }

  /** One attempt at one replica. */
  private final class Attempt {

    private final AdmissionAction.Dispatch dispatch;
    private final AttemptHandle handle = new AttemptHandle();
    private final long startNanos = context.clock().nowNanos();
    private long firstByteNanos;
    private @Nullable ServiceOutcome outcome;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the answer is complete. */
    boolean run() {
      try (ServiceAnswer answer = open()) {
        firstByteNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        receive(answer);
      } catch (AttemptFailure failure) {
        life.failed(dispatch, failure, 0, firstByteNanos);
        abortIfBegun();
        return false;
      } catch (CallerGoneException e) {
        life.callerLeft();
        life.failed(
            dispatch, new AttemptFailure(FailureKind.CANCELLED, "caller left"), 0, firstByteNanos);
        throw e;
      }
      ServiceOutcome whole = outcome;
      if (whole != null && whole.status() >= FIRST_SERVER_ERROR) {
        errorAnswer = whole;
        life.failed(
            dispatch,
            new AttemptFailure(
                FailureKind.SERVER_ERROR, "service answered " + whole.status(), whole.status()),
            0,
            firstByteNanos);
        return false;
      }
      life.succeeded(dispatch, 0, firstByteNanos);
      return true;
    }

    private ServiceAnswer open() {
      BackendServer server = life.begin(dispatch, handle);
      boolean mayRepeat = call.repeatable() == WorkRequest.Repeatable.IDEMPOTENT;
      return context
          .services()
          .call(
              new ServiceCall(
                  server.address(),
                  call.method(),
                  call.target(),
                  call.sentHeaders(caller),
                  call.body(),
                  mayRepeat ? ServiceCall.ConnectionUse.POOLED : ServiceCall.ConnectionUse.FRESH,
                  context.settings().serviceTimeout(),
                  handle));
    }

    private void receive(ServiceAnswer answer) {
      ByteArrayOutputStream held = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      List<HeaderField> headers = HeaderRules.towardsCaller(answer.headers());
      int count = answer.read(buffer);
      while (count >= 0) {
        held.write(buffer, 0, count);
        if (held.size() > WHOLE_ANSWER_BYTES) {
          passOn(answer, headers, held.toByteArray(), buffer);
          return;
        }
        count = answer.read(buffer);
      }
      outcome = new ServiceOutcome(answer.status(), headers, held.toByteArray());
    }

    private void passOn(
        ServiceAnswer answer, List<HeaderField> headers, byte[] held, byte[] buffer) {
      headers.forEach(field -> response.header(field.name(), field.value()));
      response.begin(answer.status(), null, -1);
      response.write(held, held.length);
      int count = answer.read(buffer);
      while (count >= 0) {
        response.write(buffer, count);
        count = answer.read(buffer);
      }
    }

    /** Once the caller has seen a part, a further attempt could only repeat it. */
    private void abortIfBegun() {
      if (response.hasBegun()) {
        response.abort();
        throw new CallerGoneException();
      }
    }
  }
}
