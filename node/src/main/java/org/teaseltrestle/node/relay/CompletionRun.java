package org.teaseltrestle.node.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.CompletedAnswer;
import org.teaseltrestle.node.port.EngineCall;
import org.teaseltrestle.node.port.EngineStream;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Runs one completion over as many attempts as it takes. Each attempt continues at the first token
 * that is missing.
 */
final class CompletionRun {

  private static final EventLog LOG = EventLog.of(CompletionRun.class);
  private static final Duration END_MARKER_TIMEOUT = Duration.ofMillis(500);
  private static final int TOKENS_PER_REPORT = 16;
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RelayContext context;
  private final Caller caller;
  private final CompletionRequest completion;
  private final RequestId request;
  private final RequestLife life;
  private final AnswerSink sink;
  private final BackgroundCancels cancels;
  private final AnswerChecker checker;

  CompletionRun(
      RelayContext context,
      Caller caller,
      CompletionRequest completion,
      RequestId request,
      RequestLife life,
      AnswerSink sink,
      BackgroundCancels cancels) {
    this.context = context;
    this.caller = caller;
    this.completion = completion;
    this.request = request;
    this.life = life;
    this.sink = sink;
    this.cancels = cancels;
    this.checker = new AnswerChecker(request);
  }

  /**
   * Runs until the whole answer was handed to the sink.
   *
   * @throws RefusalException if the request is refused or fails
   * @throws CallerGoneException if the caller left
   */
  void run() {
    life.arrive();
    while (!new Attempt(life.awaitDispatch()).run()) {
      if (checker.tokens() > 0) {
        context.counters().resumed();
      }
    }
  }

  /** One attempt at one engine. */
  private final class Attempt {

    private final AdmissionAction.Dispatch dispatch;
    private final AttemptHandle handle = new AttemptHandle();
    private final int firstToken = checker.tokens();
    private final long startNanos = context.clock().nowNanos();
    private String address = "";
    private long firstTokenNanos;
    private int unreported;
    private long reportedAtNanos = startNanos;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the answer is complete. */
    boolean run() {
      AnswerChecker.Chunk last;
      try (EngineStream stream = open()) {
        last = relay(stream);
      } catch (AttemptFailure failure) {
        if (life.hasCallerLeft()) {
          cancel();
        }
        fail(failure);
        return false;
      } catch (CallerGoneException e) {
        life.callerLeft();
        cancel();
        fail(new AttemptFailure(FailureKind.CANCELLED, "caller left"));
        throw e;
      } catch (RefusalException e) {
        cancel();
        fail(new AttemptFailure(FailureKind.CANCELLED, "answer given up"));
        throw life.refusal(e.refusal(), e.getMessage(), null);
      }
      life.succeeded(dispatch, checker.tokens() - firstToken, firstTokenNanos);
      release(last);
      return true;
    }

    private EngineStream open() {
      BackendServer server = life.begin(dispatch, handle);
      address = server.address();
      return context
          .engines()
          .open(
              new EngineCall(
                  address,
                  completion.endpoint().path(),
                  request,
                  dispatch.attempt(),
                  dispatch.priority(),
                  completion.bodyFrom(firstToken),
                  context.settings().firstTokenTimeout(),
                  handle));
    }

    /** Passes on all chunks but the last, which is returned. */
    private AnswerChecker.Chunk relay(EngineStream stream) {
      Duration timeout = context.settings().firstTokenTimeout();
      while (true) {
        String data = stream.next(timeout);
        if (data == null || data.equals(AnswerChecker.DONE)) {
          throw new AttemptFailure(
              checker.tokens() == firstToken
                  ? FailureKind.LOST_BEFORE_ANSWER
                  : FailureKind.LOST_DURING_ANSWER,
              "stream ended before the answer");
        }
        AnswerChecker.Chunk chunk = checker.check(data);
        noteToken();
        if (chunk.finish() != null) {
          checkEnd(stream);
          return chunk;
        }
        sink.chunk(
            chunk,
            stream.hasBuffered() ? AnswerSink.Following.ARRIVED : AnswerSink.Following.AWAITED);
        timeout = context.settings().nextTokenTimeout();
      }
    }

    /** A chunk behind the last one shows that this is not the answer that was counted. */
    private void checkEnd(EngineStream stream) {
      String following;
      try {
        following = stream.next(END_MARKER_TIMEOUT);
        if (following != null && following.equals(AnswerChecker.DONE)) {
          // Reading to the end lets the connection be used again.
          following = stream.next(END_MARKER_TIMEOUT);
        }
      } catch (AttemptFailure e) {
        return;
      }
      if (following != null) {
        throw new RefusalException(
            RefusalCode.ANSWER_MISMATCH, "the engine's answer goes on behind its end");
      }
    }

    private void noteToken() {
      long now = context.clock().nowNanos();
      if (firstTokenNanos == 0) {
        firstTokenNanos = Math.max(1, now - startNanos);
      }
      unreported++;
      if (unreported >= TOKENS_PER_REPORT || now - reportedAtNanos >= REPORT_NANOS) {
        life.tokens(unreported);
        unreported = 0;
        reportedAtNanos = now;
      }
    }

    private void release(AnswerChecker.Chunk last) {
      try {
        context
            .usage()
            .record(
                new CompletedAnswer(
                    request,
                    caller.account(),
                    completion.model(),
                    last.promptTokens(),
                    checker.tokens(),
                    context.wallClock().nowMillis()));
      } catch (RuntimeException e) {
        LOG.error(RelayEvent.USAGE_RECORD_FAILED, e, "request", request);
      }
      sink.last(last, checker.tokens());
    }

    private void fail(AttemptFailure failure) {
      if (isCallersFault(failure)) {
        life.rejected(dispatch);
        throw new RefusalException(
            RefusalCode.MALFORMED_REQUEST, "the engine refused the request as malformed");
      }
      life.failed(dispatch, failure, checker.tokens() - firstToken, firstTokenNanos);
    }

    /**
     * Stops the engine for good. Not used before a further attempt: the cancel call names only the
     * request, so a late one would stop the new attempt at the same engine.
     */
    private void cancel() {
      if (!address.isEmpty()) {
        cancels.cancel(address, request);
      }
    }

    private boolean isCallersFault(AttemptFailure failure) {
      return failure.httpStatus() == 400
          || failure.httpStatus() == 413
          || failure.httpStatus() == 422;
    }
  }
}
