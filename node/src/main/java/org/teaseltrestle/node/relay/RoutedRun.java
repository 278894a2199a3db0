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
import org.teaseltrestle.node.port.CompletedAnswer;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.OutgoingTerms;
import org.teaseltrestle.node.port.RelayedCall;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.ServiceAnswer;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Runs one routed request. Streams are passed on event by event; other answers up to a bound are
 * received as a whole before the caller sees a byte. An answer that is cut never ends regularly.
 */
final class RoutedRun {

  private static final EventLog LOG = EventLog.of(RoutedRun.class);
  private static final int WHOLE_ANSWER_BYTES = 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final RelayContext context;
  private final RoutedSetup setup;
  private final AttemptDeadlines deadlines;
  private final RequestId id;
  private final RoutedRequest request;
  private final RequestLife life;
  private final CallerResponse response;
  private final Runnable beforeEnd;
  private @Nullable ServiceOutcome errorAnswer;
  private @Nullable String lastEvent;
  private int attempts;
  private boolean begun;
  private long firstByteNanos;

  /** Creates a run; {@code beforeEnd} is called before the answer ends. */
  RoutedRun(
      RelayContext context,
      RoutedSetup setup,
      AttemptDeadlines deadlines,
      RequestId id,
      RoutedRequest request,
      RequestLife life,
      CallerResponse response,
      Runnable beforeEnd) {
    this.context = context;
    this.setup = setup;
    this.deadlines = deadlines;
    this.id = id;
    this.request = request;
    this.life = life;
    this.response = response;
    this.beforeEnd = beforeEnd;
    this.lastEvent = request.incoming().lastEvent();
  }

  /**
   * Runs the request until its answer has been passed on.
   *
   * @throws RefusalException if it is refused or fails
   * @throws CallerGoneException if the caller left
   */
  void run() {
    life.arrive();
    while (true) {
      AdmissionAction.Dispatch dispatch;
      try {
        dispatch = life.awaitDispatch();
      } catch (RefusalException e) {
        ServiceOutcome error = errorAnswer;
        if (error != null && !response.hasBegun()) {
          // No further attempt is allowed: the backend server's own error is the answer.
          answer(error);
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

  /** Returns the time from arrival to the first byte of the answer, 0 if none came. */
  long firstByteNanos() {
    return firstByteNanos;
  }

  private void answer(ServiceOutcome outcome) {
    for (HeaderField field : outcome.headers()) {
      response.header(field.name(), field.value());
    }
    boolean bodyless =
        request.method().equals("HEAD") || outcome.status() == 204 || outcome.status() == 304;
    response.begin(outcome.status(), null, bodyless ? -1 : outcome.body().length);
    if (!bodyless) {
      response.write(outcome.body(), outcome.body().length);
    }
    finish();
  }

  /**
   * Ends the answer; the caller's connection is watched no more, since its next request follows.
   */
  private void finish() {
    beforeEnd.run();
    response.finish();
  }

  private void noteBegun() {
    long now = context.clock().nowNanos();
    if (!begun) {
      begun = true;
      firstByteNanos = now - request.arrivedAtNanos();
      recordUsage();
    }
  }

  private void recordUsage() {
    if (request.account() == null) {
      return;
    }
    context
        .usage()
        .recordBegun(
            new CompletedAnswer(
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
    private final EventSplitter splitter = new EventSplitter();
    private long startNanos = context.clock().nowNanos();
    private long firstNanos;
    private int passedEvents;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the answer is complete. */
    boolean run() {
      try (AttemptDeadlines.Watch watch = deadlines.watch(handle, request.deadlineNanos())) {
        return exchange();
      } catch (AttemptFailure failure) {
        failed(failure);
        return false;
      } catch (CallerGoneException e) {
        life.callerLeft();
        life.failed(
            dispatch,
            new AttemptFailure(FailureKind.CANCELLED, "caller left"),
            passedEvents,
            firstNanos);
        throw e;
      }
    }

    private boolean exchange() {
      BackendServer server = life.begin(dispatch, handle);
      PromptReading reading = reading();
      OutgoingTerms.Work work = reading == null ? new OutgoingTerms.Whole() : reading.read();
      startNanos = context.clock().nowNanos();
      try (ServiceAnswer answer = openOrRelease(server, work, reading)) {
        Function<String, @Nullable String> header = Verdicts.lookup(answer.headers());
        ReportedLoad load = Verdicts.noteLoad(context, setup, server, answer.status(), header);
        LOG.info(
            RelayEvent.ATTEMPT_ANSWERED,
            "request",
            id,
            "attempt",
            dispatch.attempt(),
            "server",
            server.id(),
            "status",
            answer.status(),
            "load",
            load,
            "millis",
            (context.clock().nowNanos() - startNanos) / NANOS_PER_MILLISECOND);
        Verdicts.check(
            setup
                .codec()
                .judge(answer.status(), request.incoming().callerId(), server.id(), header));
        firstNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        if (request.route().kind() == ServingRoute.Kind.STREAM && answer.status() == OK) {
          passEvents(answer);
        } else {
          return passWhole(answer);
        }
      }
      life.succeeded(dispatch, Math.max(1, passedEvents), firstNanos);
      finish();
      return true;
    }

    /** Returns the reading of the prompt by a helper, or null if the attempt has none. */
    private @Nullable PromptReading reading() {
      if (dispatch.helper() == null) {
        return null;
      }
      BackendServer helper = context.directory().find(dispatch.helper());
      return helper == null
          ? null
          : new PromptReading(context, setup, deadlines, id, request, dispatch, helper, handle);
    }

    private ServiceAnswer openOrRelease(
        BackendServer server, OutgoingTerms.Work work, @Nullable PromptReading reading) {
      try {
        return open(server, work);
      } catch (AttemptFailure failure) {
        if (reading != null && work instanceof OutgoingTerms.FromMemory source) {
          reading.release(source);
        }
        throw failure;
      }
    }

    private ServiceAnswer open(BackendServer server, OutgoingTerms.Work work) {
      attempts++;
      long left = request.deadlineNanos() - context.clock().nowNanos();
      long leftMillis = Math.max(1, left / NANOS_PER_MILLISECOND);
      OutgoingTerms terms =
          new OutgoingTerms(
              server.id(), request.account(), leftMillis, dispatch.priority(), lastEvent, work);
      LOG.info(
          RelayEvent.ATTEMPT_SENT,
          "request",
          id,
          "attempt",
          dispatch.attempt(),
          "server",
          server.id(),
          "work",
          work,
          "leftMillis",
          leftMillis);
      return setup
          .client()
          .call(
              new RelayedCall(
                  server.address(),
                  request.method(),
                  request.target(),
                  setup.codec().outgoing(request.headers(), terms),
                  request.body(),
                  handle));
    }

    private void passEvents(ServiceAnswer answer) {
      byte[] buffer = new byte[BUFFER_BYTES];
      int count = answer.read(buffer);
      while (count >= 0) {
        byte[] events = splitter.take(buffer, count);
        if (events.length > 0) {
          passOn(answer, events);
        }
        count = answer.read(buffer);
      }
      byte[] rest = splitter.rest();
      if (rest.length > 0 || !response.hasBegun()) {
        passOn(answer, rest);
      }
    }

    private void passOn(ServiceAnswer answer, byte[] events) {
      if (!response.hasBegun()) {
        firstNanos = Math.max(1, context.clock().nowNanos() - startNanos);
        for (HeaderField field : HeaderRules.towardsCaller(answer.headers())) {
          response.header(field.name(), field.value());
        }
        response.begin(answer.status(), null, -1);
      }
      noteBegun();
      response.write(events, events.length);
      response.flush();
      if (splitter.lastId() != null) {
        lastEvent = splitter.lastId();
      }
      int fresh = splitter.events() - passedEvents;
      passedEvents = splitter.events();
      if (fresh > 0) {
        life.tokens(fresh);
      }
    }

    private boolean passWhole(ServiceAnswer answer) {
      noteBegun();
      ByteArrayOutputStream held = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      List<HeaderField> headers = HeaderRules.towardsCaller(answer.headers());
      int count = answer.read(buffer);
      while (count >= 0) {
        held.write(buffer, 0, count);
        if (held.size() > WHOLE_ANSWER_BYTES) {
          passLong(answer, headers, held.toByteArray(), buffer);
          return true;
        }
        count = answer.read(buffer);
      }
      ServiceOutcome outcome = new ServiceOutcome(answer.status(), headers, held.toByteArray());
      if (outcome.status() >= FIRST_SERVER_ERROR) {
        errorAnswer = outcome;
        throw new AttemptFailure(
            FailureKind.SERVER_ERROR,
            "backend server answered " + outcome.status(),
            outcome.status());
      }
      life.succeeded(dispatch, 0, firstNanos);
      answer(outcome);
      return true;
    }

    private void passLong(
        ServiceAnswer answer, List<HeaderField> headers, byte[] held, byte[] buffer) {
      headers.forEach(field -> response.header(field.name(), field.value()));
      response.begin(answer.status(), null, -1);
      response.write(held, held.length);
      int count = answer.read(buffer);
      while (count >= 0) {
        response.write(buffer, count);
        count = answer.read(buffer);
      }
      life.succeeded(dispatch, 0, firstNanos);
      finish();
    }

    private void failed(AttemptFailure failure) {
      life.failed(dispatch, failure, passedEvents, firstNanos);
      boolean over = context.clock().nowNanos() - request.deadlineNanos() >= 0;
      if (over) {
        throw life.refusal(RefusalCode.BACKEND_TIMEOUT, "the time for the answer is over", null);
      }
      if (response.hasBegun() && !request.route().mayRepeat()) {
        throw life.refusal(RefusalCode.ANSWER_CUT, "the answer was cut", null);
      }
    }
  }
}
