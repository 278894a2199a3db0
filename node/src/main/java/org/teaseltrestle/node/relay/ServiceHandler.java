package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.lists.ServiceEntry;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.policy.WorkRequest;

/** Serves calls of plain services. */
final class ServiceHandler {

  private static final EventLog LOG = EventLog.of(ServiceHandler.class);
  private static final Set<String> REFUSED_METHODS = Set.of("CONNECT", "TRACE");
  private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;
  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayContext context;
  private final BodyReader bodies;
  private final IdempotencyClaims claims;

  ServiceHandler(RelayContext context, BodyReader bodies, IdempotencyClaims claims) {
    this.context = context;
    this.bodies = bodies;
    this.claims = claims;
  }

  /**
   * Serves one call.
   *
   * @throws RefusalException if it is refused
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void handle(Exchange exchange) {
    HttpServerExchange http = exchange.http();
    String method = http.getRequestMethod().toString();
    ServiceTarget target = ServiceTarget.parse(exchange.path());
    if (REFUSED_METHODS.contains(method)) {
      throw new RefusalException(RefusalCode.METHOD_NOT_ALLOWED, "this method is not relayed");
    }
    ControlView view = context.control().view();
    ServiceEntry service = view.lists().services().get(target.service());
    boolean open = service != null && service.isOpen(method, target.path());
    Caller caller =
        open ? Caller.OPEN : context.authenticator().identify(exchange.credentials(), view);
    if (service == null) {
      throw new RefusalException(RefusalCode.UNKNOWN_SERVICE, "no such service");
    }
    if (caller.plan() != null && !caller.plan().services().contains(service.service())) {
      throw new RefusalException(
          RefusalCode.NOT_IN_PLAN, "the account's plan does not include this service");
    }
    try (AccountThreadLimiter.Permit permit = context.accountThreads().acquire(caller.account())) {
      serve(exchange, caller, service, read(exchange, method, target, service));
    }
  }

  private ServiceRequest read(
      Exchange exchange, String method, ServiceTarget target, ServiceEntry service) {
    CallerCredentials credentials = exchange.credentials();
    byte[] body = bodies.read(exchange.http(), exchange.response().memory());
    if (credentials.appearsIn(body) || credentials.appearsIn(target.path())) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the key is allowed only in the headers or the query");
    }
    if (body.length > 0 && (method.equals("GET") || method.equals("HEAD"))) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "a " + method + " request must not have a body");
    }
    HeaderMap headers = exchange.http().getRequestHeaders();
    List<HeaderField> kept = HeaderFilter.forwardedToService(headers, credentials);
    boolean idempotent = service.isIdempotent(method, target.path());
    return new ServiceRequest(
        exchange.request(),
        target.service(),
        method,
        target.rawPath() + (credentials.query().isEmpty() ? "" : "?" + credentials.query()),
        kept,
        body,
        idempotent ? WorkRequest.Repeatability.IDEMPOTENT : WorkRequest.Repeatability.AT_MOST_ONCE,
        idempotencyKey(kept));
  }

  private static @Nullable String idempotencyKey(List<HeaderField> headers) {
    List<String> keys =
        headers.stream()
            .filter(field -> field.name().equalsIgnoreCase("Idempotency-Key"))
            .map(HeaderField::value)
            .distinct()
            .toList();
    if (keys.isEmpty()) {
      return null;
    }
    String key = keys.get(0);
    if (keys.size() > 1 || key.isBlank() || key.length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the Idempotency-Key header is malformed");
    }
    return key;
  }

  /** Open routes are not claimed: callers without a key could read each other's outcomes. */
  private void serve(Exchange exchange, Caller caller, ServiceEntry service, ServiceRequest call) {
    String key = call.idempotencyKey();
    boolean claimed =
        key != null
            && caller.keyId() != null
            && call.repeatability() == WorkRequest.Repeatability.AT_MOST_ONCE;
    if (key == null || !claimed) {
      BufferedResponse outcome = run(exchange, caller, service, call, null);
      if (outcome != null) {
        respond(exchange, call, outcome);
      }
      return;
    }
    IdempotencyClaims.Decision decision = claims.claim(caller, call, key);
    IdempotencyClaims.Claim claim = decision.claim();
    BufferedResponse outcome = decision.earlierOutcome();
    if (claim != null) {
      outcome = run(exchange, caller, service, call, claim);
    } else {
      exchange.response().header("X-Trestle-Replayed", "true");
    }
    if (outcome != null) {
      respond(exchange, call, outcome);
    }
  }

  private @Nullable BufferedResponse run(
      Exchange exchange,
      Caller caller,
      ServiceEntry service,
      ServiceRequest call,
      IdempotencyClaims.@Nullable Claim claim) {
    boolean mayRepeat = call.repeatability() == WorkRequest.Repeatability.IDEMPOTENT;
    RequestMailbox mailbox =
        new RequestMailbox(
            call.request(),
            caller.keyId(),
            mayRepeat ? RequestMailbox.OnDisconnect.CANCEL : RequestMailbox.OnDisconnect.FINISH);
    NotRun notRun = NotRun.CERTAIN;
    BufferedResponse outcome = null;
    try (RequestLifecycle lifecycle =
            new RequestLifecycle(context, caller, work(caller, service, call), mailbox);
        CallerDisconnectWatch watch =
            CallerDisconnectWatch.start(exchange.http(), mailbox::callerDisconnected)) {
      ServiceRun run = new ServiceRun(context, caller, call, lifecycle, exchange.response());
      try {
        outcome = run.run();
      } finally {
        notRun = run.notRun();
      }
    } finally {
      settle(claim, outcome, notRun);
    }
    if (outcome == null || outcome.status() < FIRST_SERVER_ERROR) {
      recordUsage(caller, call);
    }
    if (outcome == null) {
      // A long response has already been forwarded; only its regular end is missing.
      exchange.response().finish();
    }
    return outcome;
  }

  private void settle(
      IdempotencyClaims.@Nullable Claim claim, @Nullable BufferedResponse outcome, NotRun notRun) {
    if (claim == null) {
      return;
    }
    if (outcome != null) {
      claims.completed(claim, outcome);
    } else if (notRun == NotRun.CERTAIN) {
      claims.notRun(claim);
    } else {
      claims.outcomeUnknown(claim);
    }
  }

  private WorkRequest work(Caller caller, ServiceEntry service, ServiceRequest call) {
    return new WorkRequest(
        call.request(),
        caller.account(),
        service.service(),
        service.pool(),
        WorkRequest.WorkKind.SERVICE_CALL,
        call.repeatability(),
        0,
        0,
        List.of(),
        RequestFingerprint.of(
            call.method(), call.service().value(), call.target(), caller.account(), call.body()),
        context.clock().nowNanos() + context.settings().serviceTimeout().toNanos(),
        ThreadLocalRandom.current().nextLong());
  }

  private void recordUsage(Caller caller, ServiceRequest call) {
    if (caller.keyId() == null) {
      return;
    }
    try {
      context
          .usage()
          .record(
              new RequestUsage(
                  call.request(),
                  caller.account(),
                  call.service(),
                  0,
                  0,
                  context.wallClock().nowMillis()));
    } catch (RuntimeException e) {
      LOG.error(RelayEvent.USAGE_RECORD_FAILED, e, "request", call.request());
    }
  }

  private void respond(Exchange exchange, ServiceRequest call, BufferedResponse outcome) {
    CallerResponse response = exchange.response();
    for (HeaderField field : outcome.headers()) {
      response.header(field.name(), field.value());
    }
    if (call.method().equals("HEAD") || outcome.status() == 204 || outcome.status() == 304) {
      response.start(outcome.status(), null, -1);
    } else {
      response.start(outcome.status(), null, outcome.body().length);
      response.write(outcome.body(), outcome.body().length);
    }
    response.finish();
  }
}
