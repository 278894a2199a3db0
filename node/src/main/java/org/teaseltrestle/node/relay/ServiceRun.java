package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ServiceCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Runs one call of a plain service. Responses up to a size limit are buffered and checked before
 * the caller receives a byte; longer ones are forwarded as they arrive, and a truncated one ends
 * with the connection closed instead of a regular end.
 */
final class ServiceRun {

  private static final int MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayContext context;
  private final Caller caller;
  private final ServiceRequest call;
  private final RequestLifecycle lifecycle;
  private final CallerResponse response;
  private @Nullable BufferedResponse lastServerError;

  ServiceRun(
      RelayContext context,
      Caller caller,
      ServiceRequest call,
      RequestLifecycle lifecycle,
      CallerResponse response) {
    this.context = context;
    this.caller = caller;
    this.call = call;
    this.lifecycle = lifecycle;
    this.response = response;
  }

  /**
   * Runs the call.
   *
   * @return the buffered response, or null if a long one has already been forwarded
   * @throws RefusalException if the call is refused or fails
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  @Nullable BufferedResponse run() {
    lifecycle.submit();
    while (true) {
      AdmissionAction.Dispatch dispatch;
      try {
        dispatch = lifecycle.awaitDispatch();
      } catch (RefusalException e) {
        BufferedResponse error = lastServerError;
        if (error != null) {
          // No further attempt is allowed, so the service's own error is forwarded.
          return error;
        }
        throw e;
      }
      Attempt attempt = new Attempt(dispatch);
      if (attempt.run()) {
        return attempt.bufferedResponse;
      }
    }
  }

  /** Returns what is certain about whether the service has run the call. */
  NotRun notRun() {
    return lastServerError != null ? NotRun.RUN : lifecycle.notRun();
  }

  /** One attempt at one replica. */
  private final class Attempt {

    private final AdmissionAction.Dispatch dispatch;
    private final AttemptHandle handle = new AttemptHandle();
    private final long startNanos = context.clock().nowNanos();
    private long firstByteNanos;
    private @Nullable BufferedResponse bufferedResponse;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the response is complete. */
    boolean run() {
      try (ServiceResponse serviceResponse = open()) {
        firstByteNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        receive(EventStreamResponse.checkingEnd(serviceResponse));
      } catch (AttemptFailure failure) {
        lifecycle.attemptFailed(dispatch, failure, 0, firstByteNanos);
        abortIfStarted();
        return false;
      } catch (CallerDisconnectedException e) {
        lifecycle.callerDisconnected();
        lifecycle.attemptFailed(
            dispatch,
            new AttemptFailure(FailureKind.CANCELLED, "caller disconnected"),
            0,
            firstByteNanos);
        throw e;
      }
      BufferedResponse completeResponse = bufferedResponse;
      if (completeResponse != null && completeResponse.status() >= FIRST_SERVER_ERROR) {
        lastServerError = completeResponse;
        lifecycle.attemptFailed(
            dispatch,
            new AttemptFailure(
                FailureKind.SERVER_ERROR,
                "service responded with status " + completeResponse.status(),
                completeResponse.status()),
            0,
            firstByteNanos);
        return false;
      }
      lifecycle.attemptSucceeded(dispatch, 0, firstByteNanos);
      return true;
    }

    private ServiceResponse open() {
      BackendServer server = lifecycle.startAttempt(dispatch, handle);
      return context
          .services()
          .call(
              new ServiceCall(
                  server.address(),
                  call.method(),
                  call.target(),
                  call.attemptHeaders(caller),
                  call.body(),
                  context.settings().serviceTimeout(),
                  handle));
    }

    private void receive(ServiceResponse serviceResponse) {
      ByteArrayOutputStream buffered = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      List<HeaderField> headers = HeaderFilter.forwardedToCaller(serviceResponse.headers());
      int count = serviceResponse.read(buffer);
      while (count >= 0) {
        buffered.write(buffer, 0, count);
        boolean keepsMore =
            buffered.size() <= MAXIMUM_BUFFERED_BYTES && response.memory().tryAdd(2L * count);
        if (!keepsMore) {
          forwardUnbuffered(serviceResponse, headers, buffered.toByteArray(), buffer);
          return;
        }
        count = serviceResponse.read(buffer);
      }
      bufferedResponse =
          new BufferedResponse(serviceResponse.status(), headers, buffered.toByteArray());
    }

    private void forwardUnbuffered(
        ServiceResponse serviceResponse,
        List<HeaderField> headers,
        byte[] buffered,
        byte[] buffer) {
      headers.forEach(field -> response.header(field.name(), field.value()));
      response.start(serviceResponse.status(), null, -1);
      response.write(buffered, buffered.length);
      int count = serviceResponse.read(buffer);
      while (count >= 0) {
        response.write(buffer, count);
        count = serviceResponse.read(buffer);
      }
    }

    /** Once the caller has received a part, a further attempt could only repeat it. */
    private void abortIfStarted() {
      if (response.isStarted()) {
        response.abort();
        throw new CallerDisconnectedException();
      }
    }
  }
}
