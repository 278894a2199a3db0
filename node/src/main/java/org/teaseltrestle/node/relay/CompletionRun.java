package org.teaseltrestle.node.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.EngineCall;
import org.teaseltrestle.node.port.EngineStream;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Runs one completion over as many attempts as needed. Each attempt resumes at the first missing
 * token.
 */
final class CompletionRun {

  private static final EventLog LOG = EventLog.of(CompletionRun.class);
  private static final Duration END_MARKER_TIMEOUT = Duration.ofMillis(500);
  private static final int TOKENS_PER_REPORT = 16;
  private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RelayContext context;
  private final Caller caller;
  private final CompletionRequest completion;
  private final RequestId request;
  private final RequestLifecycle lifecycle;
  private final CompletionSink sink;
  private final BackgroundCancellations cancellations;
  private final CompletionChecker checker;

  CompletionRun(
      RelayContext context,
      Caller caller,
      CompletionRequest completion,
      RequestId request,
      RequestLifecycle lifecycle,
      CompletionSink sink,
      BackgroundCancellations cancellations) {
    this.context = context;
    this.caller = caller;
    this.completion = completion;
    this.request = request;
    this.lifecycle = lifecycle;
    this.sink = sink;
    this.cancellations = cancellations;
    this.checker = new CompletionChecker(request);
  }

  /**
   * Runs until the sink has received the complete response.
   *
   * @throws RefusalException if the request is refused or fails
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void run() {
    lifecycle.submit();
    while (!new Attempt(lifecycle.awaitDispatch()).run()) {
      if (checker.tokens() > 0) {
        context.counters().streamResumed();
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
    private int unreportedTokens;
    private long reportedAtNanos = startNanos;

    Attempt(AdmissionAction.Dispatch dispatch) {
      this.dispatch = dispatch;
    }

    /** Returns whether the response is complete. */
    boolean run() {
      CompletionChecker.Chunk last;
      try (EngineStream stream = open()) {
        last = forwardChunks(stream);
      } catch (AttemptFailure failure) {
        if (lifecycle.hasCallerDisconnected()) {
          cancel();
        }
        reportFailure(failure);
        return false;
      } catch (CallerDisconnectedException e) {
        lifecycle.callerDisconnected();
        cancel();
        reportFailure(new AttemptFailure(FailureKind.CANCELLED, "caller disconnected"));
        throw e;
      } catch (RefusalException e) {
        cancel();
        reportFailure(new AttemptFailure(FailureKind.CANCELLED, "response abandoned"));
        throw lifecycle.refusal(e.refusalCode(), e.getMessage(), null);
      }
      lifecycle.attemptSucceeded(dispatch, checker.tokens() - firstToken, firstTokenNanos);
      deliverLast(last);
      return true;
    }

    private EngineStream open() {
      BackendServer server = lifecycle.startAttempt(dispatch, handle);
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
                  completion.bodyResumingAfter(firstToken),
                  context.settings().firstTokenTimeout(),
                  handle));
    }

    /** Forwards all chunks except the last, which it returns. */
    private CompletionChecker.Chunk forwardChunks(EngineStream stream) {
      Duration timeout = context.settings().firstTokenTimeout();
      while (true) {
        String data = stream.next(timeout);
        if (data == null || data.equals(CompletionChecker.DONE)) {
          throw new AttemptFailure(
              checker.tokens() == firstToken
                  ? FailureKind.LOST_BEFORE_ANSWER
                  : FailureKind.LOST_DURING_ANSWER,
              "stream ended before the response was complete");
        }
        CompletionChecker.Chunk chunk = checker.check(data);
        recordToken();
        if (chunk.finishReason() != null) {
          checkStreamEnd(stream);
          return chunk;
        }
        sink.accept(
            chunk,
            stream.hasBufferedData()
                ? CompletionSink.NextChunk.ARRIVED
                : CompletionSink.NextChunk.AWAITED);
        timeout = context.settings().nextTokenTimeout();
      }
    }

    /** Checks that no chunk follows the last one, whose token count would not include it. */
    private void checkStreamEnd(EngineStream stream) {
      String following;
      try {
        following = stream.next(END_MARKER_TIMEOUT);
        if (following != null && following.equals(CompletionChecker.DONE)) {
          // Reading to the end of the body lets the connection be reused.
          following = stream.next(END_MARKER_TIMEOUT);
        }
      } catch (AttemptFailure e) {
        return;
      }
      if (following != null) {
        throw new RefusalException(
            RefusalCode.ANSWER_MISMATCH, "the engine's response continues after its last chunk");
      }
    }

    private void recordToken() {
      long now = context.clock().nowNanos();
      if (firstTokenNanos == 0) {
        firstTokenNanos = Math.max(1, now - startNanos);
      }
      unreportedTokens++;
      if (unreportedTokens >= TOKENS_PER_REPORT || now - reportedAtNanos >= REPORT_INTERVAL_NANOS) {
        lifecycle.reportTokens(unreportedTokens);
        unreportedTokens = 0;
        reportedAtNanos = now;
      }
    }

    private void deliverLast(CompletionChecker.Chunk last) {
      try {
        context
            .usage()
            .record(
                new RequestUsage(
                    request,
                    caller.account(),
                    completion.model(),
                    last.promptTokens(),
                    checker.tokens(),
                    context.wallClock().nowMillis()));
      } catch (RuntimeException e) {
        LOG.error(RelayEvent.USAGE_RECORD_FAILED, e, "request", request);
      }
      sink.acceptLast(last, checker.tokens());
    }

    private void reportFailure(AttemptFailure failure) {
      if (isCallerError(failure)) {
        lifecycle.requestRejected(dispatch);
        throw new RefusalException(
            RefusalCode.MALFORMED_REQUEST, "the engine rejected the request as malformed");
      }
      lifecycle.attemptFailed(dispatch, failure, checker.tokens() - firstToken, firstTokenNanos);
    }

    /**
     * Stops the engine's work on the request. Not used before a further attempt: the cancel call
     * names only the request, so a delayed one would stop the new attempt at the same engine.
     */
    private void cancel() {
      if (!address.isEmpty()) {
        cancellations.cancel(address, request);
      }
    }

    private boolean isCallerError(AttemptFailure failure) {
      return failure.httpStatus() == 400
          || failure.httpStatus() == 413
          || failure.httpStatus() == 422;
    }
  }
}
