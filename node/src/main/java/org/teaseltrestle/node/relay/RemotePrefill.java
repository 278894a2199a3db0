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
import org.teaseltrestle.node.port.AttemptOptions;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.node.port.ResponseVerdict;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.FailureKind;

/**
 * Prefills the prompt of one attempt on a separate prefill engine. If that fails, the engine that
 * runs the request prefills the prompt itself.
 */
final class RemotePrefill {

  private static final EventLog LOG = EventLog.of(RemotePrefill.class);
  private static final int BUFFER_BYTES = 4 * 1024;
  private static final int OK = 200;

  /** The response names a handle and two numbers. */
  static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024;

  private static final long RELEASE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** A remote prefill may take the remaining time divided by this. */
  private static final int REMAINING_TIME_DIVISOR = 2;

  private final RelayContext context;
  private final RoutedRelayDependencies dependencies;
  private final AttemptDeadlines deadlines;
  private final RequestId id;
  private final RoutedRequest request;
  private final AdmissionAction.Dispatch dispatch;
  private final BackendServer prefillEngine;
  private final AttemptHandle attemptHandle;
  private final AttemptHandle prefillHandle = new AttemptHandle();
  private @Nullable ReportedLoad load;

  RemotePrefill(
      RelayContext context,
      RoutedRelayDependencies dependencies,
      AttemptDeadlines deadlines,
      RequestId id,
      RoutedRequest request,
      AdmissionAction.Dispatch dispatch,
      BackendServer prefillEngine,
      AttemptHandle attemptHandle) {
    this.context = context;
    this.dependencies = dependencies;
    this.deadlines = deadlines;
    this.id = id;
    this.request = request;
    this.dispatch = dispatch;
    this.prefillEngine = prefillEngine;
    this.attemptHandle = attemptHandle;
  }

  /**
   * Returns the monotonic time at which a remote prefill is given up and the whole request is sent
   * instead.
   */
  static long deadlineNanos(long startNanos, long requestDeadlineNanos) {
    return startNanos + (requestDeadlineNanos - startNanos) / REMAINING_TIME_DIVISOR;
  }

  /**
   * Runs the remote prefill.
   *
   * @return the work left for the engine that runs the request
   * @throws AttemptFailure if the attempt was cancelled or expired meanwhile
   */
  AttemptOptions.Work run() {
    long startNanos = context.clock().nowNanos();
    long deadlineNanos = deadlineNanos(startNanos, request.deadlineNanos());
    attemptHandle.onCancel(prefillHandle::cancel);
    String cacheHandle = null;
    AttemptFailure failure = null;
    try (AttemptDeadlines.Deadline deadline = deadlines.schedule(prefillHandle, deadlineNanos);
        ServiceResponse prefillResponse = call()) {
      cacheHandle = readCacheHandle(prefillResponse, startNanos);
    } catch (AttemptFailure e) {
      failure = e;
      ResponseVerdicts.reportForeignResponse(context, id, prefillEngine.id(), e);
    }
    reportEnd(startNanos, failure);
    if (attemptHandle.isCancelled()) {
      throw new AttemptFailure(
          attemptHandle.isExpired() ? FailureKind.TIMED_OUT : FailureKind.CANCELLED,
          "attempt ended during its remote prefill");
    }
    return cacheHandle == null
        ? new AttemptOptions.FullExecution()
        : new AttemptOptions.FromMemory(prefillEngine.address(), cacheHandle);
  }

  /**
   * Releases cache memory that the engine running the request did not fetch; the prefill engine
   * would otherwise retain it for seconds.
   */
  void release(AttemptOptions.FromMemory source) {
    AttemptHandle releaseHandle = new AttemptHandle();
    long deadlineNanos = context.clock().nowNanos() + RELEASE_TIMEOUT_NANOS;
    try (AttemptDeadlines.Deadline deadline = deadlines.schedule(releaseHandle, deadlineNanos);
        ServiceResponse releaseResponse =
            dependencies
                .client()
                .call(
                    new RoutedCall(
                        id,
                        source.address(),
                        "DELETE",
                        dependencies.codec().kvCacheReleaseTarget(source.memory()),
                        List.of(),
                        new byte[0],
                        releaseHandle,
                        deadlineNanos))) {
      LOG.info(RelayEvent.MEMORY_RELEASED, "request", id, "status", releaseResponse.status());
    } catch (AttemptFailure e) {
      // The prefill engine frees the memory itself after a timeout.
      LOG.info(RelayEvent.MEMORY_RELEASED, "request", id, "status", e.kind());
    }
  }

  private ServiceResponse call() {
    long remainingNanos = request.deadlineNanos() - context.clock().nowNanos();
    AttemptOptions options =
        new AttemptOptions(
            prefillEngine.id(),
            request.account(),
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)),
            dispatch.priority(),
            null,
            new AttemptOptions.PrefillOnly());
    return dependencies
        .client()
        .call(
            new RoutedCall(
                id,
                prefillEngine.address(),
                request.method(),
                request.target(),
                dependencies.codec().attemptHeaders(request.headers(), options),
                request.body(),
                prefillHandle,
                request.deadlineNanos()));
  }

  private String readCacheHandle(ServiceResponse prefillResponse, long sentAtNanos) {
    ResponseIdentity identity =
        ResponseVerdicts.identify(
            dependencies, request.incoming().callerRequestId(), prefillResponse);
    Function<String, @Nullable String> header = ResponseVerdicts.lookup(prefillResponse.headers());
    load =
        ResponseVerdicts.reportServer(
            context, dependencies, prefillEngine, prefillResponse.status(), header);
    // The codec classifies responses to whole requests; a prefill's bears no proof of its content.
    ResponseVerdict verdict =
        prefillResponse.status() == OK
            ? ResponseVerdict.VALID_RESPONSE
            : dependencies
                .codec()
                .classifyResponse(prefillResponse.status(), identity, prefillEngine.id(), header);
    ResponseVerdicts.reportLimit(
        context, dependencies, id, prefillEngine, prefillResponse, verdict, sentAtNanos);
    ResponseVerdicts.check(verdict);
    if (prefillResponse.status() != OK) {
      throw new AttemptFailure(
          FailureKind.SERVER_ERROR,
          "prefill engine responded with status " + prefillResponse.status(),
          prefillResponse.status());
    }
    String cacheHandle = dependencies.codec().kvCacheHandle(body(prefillResponse));
    if (cacheHandle == null) {
      throw new AttemptFailure(
          FailureKind.ANSWER_MISMATCH, "prefill engine returned no KV cache handle");
    }
    return cacheHandle;
  }

  /**
   * Reads the whole body.
   *
   * @throws AttemptFailure if it is longer than {@link #MAXIMUM_RESPONSE_BYTES}
   */
  static byte[] body(ServiceResponse prefillResponse) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    int count = prefillResponse.read(buffer);
    while (count >= 0) {
      body.write(buffer, 0, count);
      if (body.size() > MAXIMUM_RESPONSE_BYTES) {
        throw new AttemptFailure(
            FailureKind.ANSWER_MISMATCH,
            "response of the prefill engine is longer than " + MAXIMUM_RESPONSE_BYTES + " bytes");
      }
      count = prefillResponse.read(buffer);
    }
    return body.toByteArray();
  }

  private void reportEnd(long startNanos, @Nullable AttemptFailure failure) {
    FailureKind kind = failure == null ? null : failure.kind();
    long durationNanos = context.clock().nowNanos() - startNanos;
    LOG.info(
        RelayEvent.PROMPT_READ,
        "request",
        id,
        "helper",
        prefillEngine.id(),
        "failure",
        kind,
        "reason",
        failure == null ? "none" : String.valueOf(failure.getMessage()),
        "load",
        load,
        "millis",
        TimeUnit.NANOSECONDS.toMillis(durationNanos));
    context
        .admission()
        .offer(
            new AdmissionEvent.PrefillFinished(
                dispatch.request(), dispatch.attempt(), kind, durationNanos));
  }
}
