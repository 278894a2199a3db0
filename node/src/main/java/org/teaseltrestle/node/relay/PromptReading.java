package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.OutgoingTerms;
import org.teaseltrestle.node.port.RelayedCall;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.ServiceAnswer;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Has the prompt of one attempt read by a helper. If that fails, the engine that runs the request
 * reads the prompt itself.
 */
final class PromptReading {

  private static final EventLog LOG = EventLog.of(PromptReading.class);
  private static final int BUFFER_BYTES = 4 * 1024;
  private static final int OK = 200;

  private static final long RELEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Part of the time left that a helper may take. */
  private static final int PART_OF_TIME_LEFT = 3;

  private final RelayContext context;
  private final RoutedSetup setup;
  private final AttemptDeadlines deadlines;
  private final RequestId id;
  private final RoutedRequest request;
  private final AdmissionAction.Dispatch dispatch;
  private final BackendServer helper;
  private final AttemptHandle attempt;
  private final AttemptHandle handle = new AttemptHandle();
  private @Nullable ReportedLoad load;

  PromptReading(
      RelayContext context,
      RoutedSetup setup,
      AttemptDeadlines deadlines,
      RequestId id,
      RoutedRequest request,
      AdmissionAction.Dispatch dispatch,
      BackendServer helper,
      AttemptHandle attempt) {
    this.context = context;
    this.setup = setup;
    this.deadlines = deadlines;
    this.id = id;
    this.request = request;
    this.dispatch = dispatch;
    this.helper = helper;
    this.attempt = attempt;
  }

  /**
   * Has the prompt read.
   *
   * @return what the engine that runs the request has to do
   * @throws AttemptFailure if the attempt was cancelled meanwhile
   */
  OutgoingTerms.Work read() {
    long startNanos = context.clock().nowNanos();
    long bound = startNanos + (request.deadlineNanos() - startNanos) / PART_OF_TIME_LEFT;
    attempt.onCancel(handle::cancel);
    String memory = null;
    FailureKind failure = null;
    try (AttemptDeadlines.Watch watch = deadlines.watch(handle, bound);
        ServiceAnswer answer = call()) {
      memory = memory(answer);
    } catch (AttemptFailure e) {
      failure = e.kind();
    }
    ended(startNanos, failure);
    if (attempt.isCancelled()) {
      throw new AttemptFailure(
          attempt.isExpired() ? FailureKind.TIMED_OUT : FailureKind.CANCELLED,
          "attempt ended while its prompt was read");
    }
    return memory == null
        ? new OutgoingTerms.Whole()
        : new OutgoingTerms.FromMemory(helper.address(), memory);
  }

  /** Gives back memory that the other engine did not take; without it, it is kept for seconds. */
  void release(OutgoingTerms.FromMemory source) {
    AttemptHandle release = new AttemptHandle();
    long bound = context.clock().nowNanos() + RELEASE_NANOS;
    try (AttemptDeadlines.Watch watch = deadlines.watch(release, bound);
        ServiceAnswer answer =
            setup
                .client()
                .call(
                    new RelayedCall(
                        source.address(),
                        "DELETE",
                        setup.codec().releaseTarget(source.memory()),
                        List.of(),
                        new byte[0],
                        release))) {
      LOG.info(RelayEvent.MEMORY_RELEASED, "request", id, "status", answer.status());
    } catch (AttemptFailure e) {
      // The engine drops the memory by itself after its time.
      LOG.info(RelayEvent.MEMORY_RELEASED, "request", id, "status", e.kind());
    }
  }

  private ServiceAnswer call() {
    long left = request.deadlineNanos() - context.clock().nowNanos();
    OutgoingTerms terms =
        new OutgoingTerms(
            helper.id(),
            request.account(),
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)),
            dispatch.priority(),
            null,
            new OutgoingTerms.PromptOnly());
    return setup
        .client()
        .call(
            new RelayedCall(
                helper.address(),
                request.method(),
                request.target(),
                setup.codec().outgoing(request.headers(), terms),
                request.body(),
                handle));
  }

  private String memory(ServiceAnswer answer) {
    Function<String, @Nullable String> header = Verdicts.lookup(answer.headers());
    load = Verdicts.noteLoad(context, setup, helper, answer.status(), header);
    if (answer.status() != OK) {
      Verdicts.check(
          setup.codec().judge(answer.status(), request.incoming().callerId(), helper.id(), header));
      throw new AttemptFailure(
          FailureKind.SERVER_ERROR, "helper answered " + answer.status(), answer.status());
    }
    String memory = setup.codec().promptMemory(body(answer));
    if (memory == null) {
      throw new AttemptFailure(FailureKind.ANSWER_MISMATCH, "helper named no memory");
    }
    return memory;
  }

  private static byte[] body(ServiceAnswer answer) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    int count = answer.read(buffer);
    while (count >= 0) {
      body.write(buffer, 0, count);
      count = answer.read(buffer);
    }
    return body.toByteArray();
  }

  private void ended(long startNanos, @Nullable FailureKind failure) {
    long nanos = context.clock().nowNanos() - startNanos;
    LOG.info(
        RelayEvent.PROMPT_READ,
        "request",
        id,
        "helper",
        helper.id(),
        "failure",
        failure,
        "load",
        load,
        "millis",
        TimeUnit.NANOSECONDS.toMillis(nanos));
    context
        .admission()
        .offer(
            new AdmissionEvent.PrefillEnded(
                dispatch.request(), dispatch.attempt(), failure, nanos));
  }
}
