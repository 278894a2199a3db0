package org.teaseltrestle.node.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ReportedLoad;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.node.port.ResponseVerdict;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.LoadReport;

/** Evaluates the header of a backend server's response. */
final class ResponseVerdicts {

  private static final EventLog LOG = EventLog.of(ResponseVerdicts.class);
  private static final int FIRST_ERROR = 400;
  private static final int SERVICE_UNAVAILABLE = 503;

  private ResponseVerdicts() {}

  /**
   * Returns normally if the response may be forwarded.
   *
   * @throws AttemptFailure otherwise; its kind states whether the request may have run
   */
  static void check(ResponseVerdict verdict) {
    switch (verdict) {
      case VALID_RESPONSE -> {
        return;
      }
      case NOT_RUN_BUSY ->
          throw new AttemptFailure(FailureKind.REFUSED_BUSY, "backend server is full");
      case NOT_RUN_MISDIRECTED ->
          throw new AttemptFailure(
              FailureKind.REFUSED_LEAVING, "address belongs to another backend server");
      case UNVERIFIED_REFUSAL ->
          throw new AttemptFailure(
              FailureKind.SERVER_ERROR, "backend server refused a request that it may have run");
      case MISMATCHED_RESPONSE ->
          throw new AttemptFailure(
              FailureKind.ANSWER_MISMATCH, "response does not belong to the request");
      default -> throw new IllegalArgumentException(verdict.name());
    }
  }

  /**
   * Returns whether a response names the request. Nothing else in a response counts before this.
   *
   * @throws AttemptFailure if the response names another request
   */
  static ResponseIdentity identify(
      RoutedRelayDependencies dependencies, String callerRequestId, ServiceResponse response) {
    List<String> received = dependencies.codec().requestIds(response.headers());
    ResponseIdentity identity = ResponseIdentity.of(callerRequestId, received);
    if (identity == ResponseIdentity.OTHER) {
      throw AttemptFailure.foreignResponse(callerRequestId, received, response.status());
    }
    return identity;
  }

  /** Logs and counts a failure if it is due to the response to another request. */
  static void reportForeignResponse(
      RelayContext context, RequestId request, BackendServerId server, AttemptFailure failure) {
    if (failure.isForeignResponse()) {
      context.counters().foreignResponseReceived();
      LOG.warn(
          RelayEvent.RESPONSE_OF_OTHER_REQUEST,
          "request",
          request,
          "server",
          server,
          "reason",
          String.valueOf(failure.getMessage()));
    }
  }

  /**
   * Submits what a server says of itself in a response to the admission duty: that it is leaving,
   * that it wants a pause, and its load, which is returned if there is one.
   */
  static @Nullable ReportedLoad reportServer(
      RelayContext context,
      RoutedRelayDependencies dependencies,
      BackendServer server,
      int status,
      Function<String, @Nullable String> header) {
    if (dependencies.codec().announcesLeaving(header)) {
      submit(context, server, new AdmissionEvent.LeavingAnnounced(server.id()));
      context.directory().reportLeaving(server.id());
    }
    String retryAfter = status == SERVICE_UNAVAILABLE ? header.apply("Retry-After") : null;
    if (retryAfter != null) {
      pause(context, server, retryAfter);
    }
    ReportedLoad load = dependencies.codec().load(header);
    // Error responses are ignored: a server that refuses during a role change reports itself idle.
    if (load != null && status < FIRST_ERROR) {
      context
          .admission()
          .offer(
              new AdmissionEvent.LoadReported(
                  new LoadReport(
                      server.id(),
                      context.clock().nowNanos(),
                      load.running(),
                      load.waiting(),
                      0,
                      0,
                      0,
                      0,
                      EngineRole.MIXED)));
    }
    return load;
  }

  /**
   * Evaluates the limit on requests that a server names in a response, unless the response isn't of
   * that server.
   *
   * @param sentAtNanos monotonic time at which the request was sent
   */
  static void reportLimit(
      RelayContext context,
      RoutedRelayDependencies dependencies,
      RequestId request,
      BackendServer server,
      ServiceResponse response,
      ResponseVerdict verdict,
      long sentAtNanos) {
    if (verdict != ResponseVerdict.MISMATCHED_RESPONSE
        && verdict != ResponseVerdict.NOT_RUN_MISDIRECTED) {
      context
          .admission()
          .limitWatch()
          .evaluate(
              request, server.id(), dependencies.codec().limit(response.headers()), sentAtNanos);
    }
  }

  private static void pause(RelayContext context, BackendServer server, String retryAfter) {
    Optional<Duration> delay = RetryAfterField.parse(retryAfter, context.wallClock().nowMillis());
    LOG.info(
        RelayEvent.SERVER_PAUSES,
        "server",
        server.id(),
        "millis",
        delay.map(Duration::toMillis).orElse(0L));
    if (delay.isPresent()) {
      long until = context.clock().nowNanos() + delay.get().toNanos();
      submit(context, server, new AdmissionEvent.ServerPaused(server.id(), until));
    }
  }

  private static void submit(RelayContext context, BackendServer server, AdmissionEvent event) {
    if (!context.admission().offerBlocking(event)) {
      LOG.error(RelayEvent.ADMISSION_EVENT_LOST, null, "server", server.id());
    }
  }

  /** Returns a case-insensitive lookup of the first value of a header field. */
  static Function<String, @Nullable String> lookup(List<HeaderField> fields) {
    return name -> {
      for (HeaderField field : fields) {
        if (field.name().equalsIgnoreCase(name)) {
          return field.value();
        }
      }
      return null;
    };
  }
}
