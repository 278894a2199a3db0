package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.AttemptOptions;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.node.port.ResponseVerdict;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Runs one routed request. Streams are forwarded event by event; other responses are buffered up to
 * a size limit before the caller receives a byte. A truncated response never ends regularly.
 */
final class RoutedRun {

  private static final EventLog LOG = EventLog.of(RoutedRun.class);
  private static final int MAXIMUM_BUFFERED_BYTES = 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final RelayContext context;
  private final RoutedRelayDependencies dependencies;
  private final AttemptDeadlines deadlines;
  private final RequestId id;
  private final RoutedRequest request;
  private final RequestLifecycle lifecycle;
  private final CallerResponse response;
  private final Runnable beforeAttempt;
  private final Runnable beforeFinish;
  private @Nullable BufferedResponse lastServerError;
  private @Nullable String lastEventId;
  private int attempts;
  private int identifiedEvents;
  private boolean resumable = true;
  private boolean originRecorded;
  private boolean responseStarted;
  private long firstByteNanos;

  /**
   * Creates a run.
   *
   * @param beforeAttempt called before each attempt is sent; may find that the caller has left
   * @param beforeFinish called before the response ends
   */
  RoutedRun(
      RelayContext context,
      RoutedRelayDependencies dependencies,
      AttemptDeadlines deadlines,
      RequestId id,
      RoutedRequest request,
      RequestLifecycle lifecycle,
      CallerResponse response,
      Runnable beforeAttempt,
      Runnable beforeFinish) {
    this.context = context;
    this.dependencies = dependencies;
    this.deadlines = deadlines;
    this.id = id;
    this.request = request;
    this.lifecycle = lifecycle;
    this.response = response;
    this.beforeAttempt = beforeAttempt;
    this.beforeFinish = beforeFinish;
    this.lastEventId = request.incoming().lastEventId();
  }

  /**
   * Runs the request until its response has been forwarded.
   *
   * @throws RefusalException if it is refused or fails
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void run() {
    lifecycle.submit();
    while (true) {
      AdmissionAction.Dispatch dispatch;
      try {
        dispatch = lifecycle.awaitDispatch();
      } catch (RefusalException e) {
        BufferedResponse error = lastServerError;
        if (error != null && !response.isStarted()) {
          // No further attempt is allowed, so the backend server's own error is forwarded.
          respond(error);
          return;
        }
        throw e;
      }
      if (new Attempt(dispatch).run()) {
        return;
      }
    }
  }

  /** Returns the number of attempts that were sent. */
  int attempts() {
    return attempts;
  }

  /** Returns the number of events with an identifier that were forwarded. */
  int events() {
    return identifiedEvents;
  }

  /** Returns the time from arrival to the first byte of the response, 0 if there was none. */
  long firstByteNanos() {
    return firstByteNanos;
  }

  private void respond(BufferedResponse completeResponse) {
    for (HeaderField field : completeResponse.headers()) {
      response.header(field.name(), field.value());
    }
    boolean bodyless =
        request.method().equals("HEAD")
            || completeResponse.status() == 204
            || completeResponse.status() == 304;
    response.start(completeResponse.status(), null, bodyless ? -1 : completeResponse.body().length);
    if (!bodyless) {
      response.write(completeResponse.body(), completeResponse.body().length);
    }
    finish();
  }

  /**
   * Ends the disconnect watch, then the response, after which the caller's next request may follow.
   */
  private void finish() {
    beforeFinish.run();
    response.finish();
  }

  private void recordResponseStart() {
    long now = context.clock().nowNanos();
    if (!responseStarted) {
      responseStarted = true;
      firstByteNanos = now - request.arrivedAtNanos();
      recordUsage();
    }
  }

  /**
   * Records which software version sends the first event, before the caller has it and may take the
   * stream up at another instance.
   */
  private void recordOrigin(BackendServer server) {
    String stream = ResumedStreams.name(request.incoming(), request.account());
    if (!originRecorded && stream != null && request.route().allowsReexecution()) {
      originRecorded = true;
      dependencies
          .streams()
          .began(stream, new StreamOrigin(server.pool(), server.softwareVersion()));
    }
  }

  private void recordUsage() {
    if (request.account() == null) {
      return;
    }
    context
        .usage()
        .recordStarted(
            new RequestUsage(
                id,
                request.account(),
                new ItemName(request.pool().value()),
                request.incoming().promptTokens(),
                0,
                context.wallClock().nowMillis()));
  }

  /** One attempt at one backend server. */
  private final class Attempt {

    private final AdmissionAction.Dispatch dispatch;
    private final AttemptHandle handle = new AttemptHandle();
    private final EventSplitter splitter =
        new EventSplitter(response.isStarted() ? lastEventId : null);
    private long startNanos = context.clock().nowNanos();
    private long attemptFirstByteNanos;
    private int forwardedEvents;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the response is complete. */
    boolean run() {
      try (AttemptDeadlines.Deadline deadline =
          deadlines.schedule(handle, request.deadlineNanos())) {
        return sendAndForward();
      } catch (AttemptFailure failure) {
        if (response.isFinished()) {
          LOG.warn(
              RelayEvent.FAILURE_AFTER_RESPONSE,
              "request",
              id,
              "reason",
              String.valueOf(failure.getMessage()));
          return true;
        }
        handleFailure(failure);
        return false;
      } catch (CallerDisconnectedException e) {
        lifecycle.callerDisconnected();
        lifecycle.attemptFailed(
            dispatch,
            new AttemptFailure(FailureKind.CANCELLED, "caller disconnected"),
            forwardedEvents,
            attemptFirstByteNanos);
        throw e;
      }
    }

    private boolean sendAndForward() {
      BackendServer server = lifecycle.startAttempt(dispatch, handle);
      checkCaller();
      RemotePrefill prefill = remotePrefill();
      AttemptOptions.Work work =
          prefill == null ? new AttemptOptions.FullExecution() : prefill.run();
      startNanos = context.clock().nowNanos();
      try (ServiceResponse backendResponse = openOrRelease(server, work, prefill)) {
        ResponseIdentity identity =
            ResponseVerdicts.identify(
                dependencies, request.incoming().callerRequestId(), backendResponse);
        Function<String, @Nullable String> header =
            ResponseVerdicts.lookup(backendResponse.headers());
        ReportedLoad load =
            ResponseVerdicts.reportServer(
                context, dependencies, server, backendResponse.status(), header);
        LOG.info(
            RelayEvent.ATTEMPT_ANSWERED,
            "request",
            id,
            "attempt",
            dispatch.attempt(),
            "server",
            server.id(),
            "status",
            backendResponse.status(),
            "framing",
            backendResponse.framing(),
            "load",
            load,
            "millis",
            (context.clock().nowNanos() - startNanos) / NANOS_PER_MILLISECOND);
        ResponseVerdict verdict =
            dependencies
                .codec()
                .classifyResponse(backendResponse.status(), identity, server.id(), header);
        ResponseVerdicts.reportLimit(
            context, dependencies, id, server, backendResponse, verdict, startNanos);
        ResponseVerdicts.check(verdict);
        if (response.isStarted()) {
          StreamContinuation.check(backendResponse, response.contentType());
        }
        attemptFirstByteNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        if (request.route().kind() == ServingRoute.Kind.STREAM && backendResponse.status() == OK) {
          forwardEvents(server, backendResponse);
        } else {
          return forwardBuffered(EventStreamResponse.checkingEnd(backendResponse));
        }
      }
      lifecycle.attemptSucceeded(dispatch, Math.max(1, forwardedEvents), attemptFirstByteNanos);
      finish();
      return true;
    }

    /**
     * Checks that there still is a caller.
     *
     * @throws CallerDisconnectedException otherwise; nothing of this attempt has been sent then
     */
    private void checkCaller() {
      beforeAttempt.run();
      if (lifecycle.hasCallerDisconnected()) {
        throw new CallerDisconnectedException();
      }
    }

    /** Returns the remote prefill of this attempt, or null if it has none. */
    private @Nullable RemotePrefill remotePrefill() {
      if (dispatch.prefillEngine() == null) {
        return null;
      }
      BackendServer prefillEngine = context.directory().find(dispatch.prefillEngine());
      return prefillEngine == null
          ? null
          : new RemotePrefill(
              context, dependencies, deadlines, id, request, dispatch, prefillEngine, handle);
    }

    private ServiceResponse openOrRelease(
        BackendServer server, AttemptOptions.Work work, @Nullable RemotePrefill prefill) {
      try {
        checkCaller();
        return open(server, work);
      } catch (AttemptFailure | CallerDisconnectedException failure) {
        if (prefill != null && work instanceof AttemptOptions.FromMemory source) {
          prefill.release(source);
        }
        throw failure;
      }
    }

    private ServiceResponse open(BackendServer server, AttemptOptions.Work work) {
      attempts++;
      long remainingNanos = request.deadlineNanos() - context.clock().nowNanos();
      long remainingMillis = Math.max(1, remainingNanos / NANOS_PER_MILLISECOND);
      AttemptOptions options =
          new AttemptOptions(
              server.id(),
              request.account(),
              remainingMillis,
              dispatch.priority(),
              lastEventId,
              work);
      LOG.info(
          RelayEvent.ATTEMPT_SENT,
          "request",
          id,
          "attempt",
          dispatch.attempt(),
          "server",
          server.id(),
          "softwareVersion",
          server.softwareVersion(),
          "work",
          work,
          "leftMillis",
          remainingMillis);
      return dependencies
          .client()
          .call(
              new RoutedCall(
                  id,
                  server.address(),
                  request.method(),
                  request.target(),
                  dependencies.codec().attemptHeaders(request.headers(), options),
                  request.body(),
                  handle,
                  request.deadlineNanos()));
    }

    private void forwardEvents(BackendServer server, ServiceResponse backendResponse) {
      byte[] buffer = new byte[BUFFER_BYTES];
      int count = backendResponse.read(buffer);
      while (count >= 0) {
        byte[] events = splitter.split(buffer, count);
        if (events.length > 0) {
          recordOrigin(server);
          forward(backendResponse, events);
        }
        count = backendResponse.read(buffer);
      }
      splitter.checkEnd(backendResponse.framing());
      if (!response.isStarted()) {
        forward(backendResponse, new byte[0]);
      }
    }

    private void forward(ServiceResponse backendResponse, byte[] events) {
      if (!response.isStarted()) {
        attemptFirstByteNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        for (HeaderField field : HeaderFilter.forwardedToCaller(backendResponse.headers())) {
          response.header(field.name(), field.value());
        }
        response.start(backendResponse.status(), null, -1);
      }
      recordResponseStart();
      response.write(events, events.length);
      response.flush();
      if (splitter.lastEventId() != null) {
        lastEventId = splitter.lastEventId();
      }
      resumable = splitter.endsIdentified();
      int newEvents = splitter.identifiedEvents() - forwardedEvents;
      forwardedEvents = splitter.identifiedEvents();
      if (newEvents > 0) {
        identifiedEvents += newEvents;
        lifecycle.reportTokens(newEvents);
      }
    }

    private boolean forwardBuffered(ServiceResponse backendResponse) {
      recordResponseStart();
      ByteArrayOutputStream buffered = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      List<HeaderField> headers = HeaderFilter.forwardedToCaller(backendResponse.headers());
      int count = backendResponse.read(buffer);
      while (count >= 0) {
        buffered.write(buffer, 0, count);
        boolean keepsMore =
            buffered.size() <= MAXIMUM_BUFFERED_BYTES && response.memory().tryAdd(2L * count);
        if (!keepsMore) {
          forwardUnbuffered(backendResponse, headers, buffered.toByteArray(), buffer);
          return true;
        }
        count = backendResponse.read(buffer);
      }
      BufferedResponse completeResponse =
          new BufferedResponse(backendResponse.status(), headers, buffered.toByteArray());
      if (completeResponse.status() >= FIRST_SERVER_ERROR) {
        lastServerError = completeResponse;
        throw new AttemptFailure(
            FailureKind.SERVER_ERROR,
            "backend server responded with status " + completeResponse.status(),
            completeResponse.status());
      }
      boolean rejected = completeResponse.status() >= FIRST_REDIRECT;
      lifecycle.attemptSucceeded(dispatch, 0, rejected ? 0 : attemptFirstByteNanos);
      respond(completeResponse);
      return true;
    }

    private void forwardUnbuffered(
        ServiceResponse backendResponse,
        List<HeaderField> headers,
        byte[] buffered,
        byte[] buffer) {
      resumable = false;
      headers.forEach(field -> response.header(field.name(), field.value()));
      response.start(backendResponse.status(), null, -1);
      response.write(buffered, buffered.length);
      int count = backendResponse.read(buffer);
      while (count >= 0) {
        response.write(buffer, count);
        count = backendResponse.read(buffer);
      }
      lifecycle.attemptSucceeded(dispatch, 0, attemptFirstByteNanos);
      finish();
    }

    private void handleFailure(AttemptFailure failure) {
      lifecycle.attemptFailed(dispatch, failure, forwardedEvents, attemptFirstByteNanos);
      boolean deadlinePassed = context.clock().nowNanos() - request.deadlineNanos() >= 0;
      if (deadlinePassed) {
        throw lifecycle.refusal(
            RefusalCode.BACKEND_TIMEOUT, "the deadline of the request has passed", null);
      }
      if (response.isStarted() && !(request.route().allowsReexecution() && resumable)) {
        throw lifecycle.refusal(RefusalCode.ANSWER_CUT, "the response was truncated", null);
      }
    }
  }
}
