package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.ServedAccount;
import org.teaseltrestle.model.serving.ServedPool;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.IncomingRequest;
import org.teaseltrestle.node.port.PromptPart;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.policy.RequestOptions;
import org.teaseltrestle.policy.WorkRequest;

/** Interface for routed requests; the serving configuration defines the routes and their rules. */
final class RoutedCallerInterface implements CallerInterface, AutoCloseable {

  private static final EventLog LOG = EventLog.of(RoutedCallerInterface.class);

  /** Shortest shared prompt prefix, in tokens, for which requests prefer the same engine. */
  private static final int MINIMUM_SHARED_TOKENS = 64;

  /** Time before the caller's own deadline at which the response must be on its way. */
  private static final long RESPONSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayContext context;
  private final RoutedRelayDependencies dependencies;
  private final BodyReader bodies;
  private final RelayMetrics metrics;
  private final AttemptDeadlines deadlines;
  private final ResumedStreams resumedStreams;
  private final AtomicLong nextRequest = new AtomicLong();

  RoutedCallerInterface(
      RelayContext context,
      RoutedRelayDependencies dependencies,
      BodyReader bodies,
      RelayMetrics metrics) {
    this.context = context;
    this.dependencies = dependencies;
    this.bodies = bodies;
    this.metrics = metrics;
    this.deadlines = new AttemptDeadlines(context.clock());
    this.resumedStreams = new ResumedStreams(context, dependencies.streams());
  }

  @Override
  public RequestId identify(HttpServerExchange exchange) {
    String callerId = incoming(exchange).callerRequestId();
    return new RequestId(Identifiers.isValid(callerId) ? callerId : "unnamed");
  }

  @Override
  public boolean servePage(HttpServerExchange exchange, String path) {
    return false;
  }

  @Override
  public void serve(HttpServerExchange http, RequestId id, String path, CallerResponse response) {
    admit(http, id, path, response, context.clock().nowNanos());
  }

  @Override
  public boolean isDecidedByCommittedState(RefusalCode code) {
    return code.basis() == RefusalCode.Basis.COMMITTED_STATE
        || code.basis() == RefusalCode.Basis.CALLER_INTERFACE;
  }

  @Override
  public long version(ControlView view) {
    return view.servingDocument().version();
  }

  @Override
  public int status(RefusalException refusal) {
    int status = refusal.refusalCode().httpStatus();
    if (status < FIRST_SERVER_ERROR && status != 429 && status != 408) {
      return status;
    }
    if (refusal.notRun() == NotRun.CERTAIN) {
      // All these statuses state that nothing ran; 503 also lets callers retry at-most-once calls.
      return SERVICE_UNAVAILABLE;
    }
    return status == SERVICE_UNAVAILABLE || status < FIRST_SERVER_ERROR ? BAD_GATEWAY : status;
  }

  @Override
  public @Nullable String retryAfter(RefusalException refusal) {
    Duration delay = RefusalResponse.retryDelay(refusal);
    return delay == null || refusal.notRun() != NotRun.CERTAIN
        ? null
        : String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
  }

  @Override
  public void failStarted(CallerResponse response, RefusalException refusal, RequestId request) {
    response.abort();
  }

  @Override
  public void close() {
    deadlines.close();
  }

  private void admit(
      HttpServerExchange http,
      RequestId id,
      String path,
      CallerResponse response,
      long arrivedAtNanos) {
    context.authenticator().requireReady();
    ServingConfiguration configuration = dependencies.serving().current();
    if (configuration == null) {
      throw new RefusalException(
          RefusalCode.NOT_READY, "no serving configuration has been received yet");
    }
    CallerLimits limits = configuration.limits();
    HeaderLimit.check(http, limits.maximumHeaderBytes());
    String host = http.getRequestHeaders().getFirst(Headers.HOST);
    ServingRoute route = configuration.route(host == null ? "" : host, path);
    if (route == null) {
      throw new RefusalException(
          RefusalCode.UNKNOWN_ROUTE,
          "no route matches in configuration version " + configuration.version());
    }
    String target = target(http, path);
    if (!RequestTarget.isValid(target)) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the request target is not a valid path and query");
    }
    IncomingRequest incoming = incoming(http);
    ServedAccount account = account(configuration, route, incoming);
    byte[] body = bodies.read(http, response.memory(), limits.maximumBodyBytes());
    String method = http.getRequestMethod().toString();
    if (body.length > 0 && (method.equals("GET") || method.equals("HEAD"))) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "a " + method + " request must not have a body");
    }
    long sample = ThreadLocalRandom.current().nextLong();
    long deadlineNanos = deadline(route, incoming, arrivedAtNanos);
    PoolId drawn = route.poolFor(sample);
    StreamOrigin origin =
        resumedStreams.originOf(
            id, route, incoming, account == null ? null : account.account(), drawn, deadlineNanos);
    PoolId pool = origin == null ? drawn : origin.pool();
    RoutedRequest request =
        new RoutedRequest(
            route,
            configuration.version(),
            pool,
            account == null ? null : account.account(),
            incoming,
            method,
            target,
            HeaderFilter.endToEnd(http.getRequestHeaders()),
            body,
            arrivedAtNanos,
            deadlineNanos,
            origin);
    WorkRequest work =
        work(
            id,
            request,
            account,
            fingerprint(request),
            sample,
            runsModels(configuration, route, pool));
    run(http, id, request, work, response);
  }

  /** Returns whether requests of a route run a model; plain services of such routes have none. */
  private static boolean runsModels(
      ServingConfiguration configuration, ServingRoute route, PoolId pool) {
    ServedPool served = configuration.pool(pool);
    return route.has(ServingRoute.Feature.CARRIES_PREFIX_HASHES)
        && served != null
        && served.engine() != null;
  }

  private static @Nullable ServedAccount account(
      ServingConfiguration configuration, ServingRoute route, IncomingRequest incoming) {
    if (!configuration.requiresKeys() || route.has(ServingRoute.Feature.NO_KEY_REQUIRED)) {
      return null;
    }
    String key = incoming.key();
    if (key == null) {
      throw new RefusalException(RefusalCode.KEY_MISSING, "the request has no key");
    }
    ServedAccount account = configuration.accountOf(key);
    if (account == null) {
      throw new RefusalException(
          RefusalCode.KEY_UNKNOWN,
          "the key is unknown in configuration version " + configuration.version());
    }
    return account;
  }

  private static long deadline(ServingRoute route, IncomingRequest incoming, long arrivedAtNanos) {
    long callerTimeoutMillis = Math.min(incoming.callerTimeoutMillis(), TimeUnit.DAYS.toMillis(1));
    long callerTimeoutNanos =
        TimeUnit.MILLISECONDS.toNanos(callerTimeoutMillis) - RESPONSE_MARGIN_NANOS;
    long routeTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(route.requestTimeoutMillis());
    return arrivedAtNanos + Math.max(1, Math.min(callerTimeoutNanos, routeTimeoutNanos));
  }

  private void run(
      HttpServerExchange http,
      RequestId id,
      RoutedRequest request,
      WorkRequest work,
      CallerResponse response) {
    Caller caller = new Caller(work.account(), null, null);
    boolean cancellable = request.route().kind() != ServingRoute.Kind.AT_MOST_ONCE;
    RequestMailbox mailbox =
        new RequestMailbox(
            work.request(),
            null,
            cancellable ? RequestMailbox.OnDisconnect.CANCEL : RequestMailbox.OnDisconnect.FINISH);
    String outcome = "failed";
    RequestLifecycle lifecycle = new RequestLifecycle(context, caller, work, mailbox);
    CallerDisconnectWatch watch = CallerDisconnectWatch.start(http, mailbox::callerDisconnected);
    RoutedRun run =
        new RoutedRun(
            context,
            dependencies,
            deadlines,
            id,
            request,
            lifecycle,
            response,
            () -> checkWatch(watch),
            () -> closeWatch(watch));
    try (lifecycle) {
      run.run();
      outcome = "answered";
    } catch (CallerDisconnectedException e) {
      outcome = "caller_left";
      throw e;
    } catch (RefusalException e) {
      outcome = e.refusalCode().wireName();
      throw e;
    } finally {
      closeWatch(watch);
      recordEnd(id, request, run, outcome);
    }
  }

  private static void checkWatch(@Nullable CallerDisconnectWatch watch) {
    if (watch != null) {
      watch.check();
    }
  }

  private static void closeWatch(@Nullable CallerDisconnectWatch watch) {
    if (watch != null) {
      watch.close();
    }
  }

  private void recordEnd(RequestId id, RoutedRequest request, RoutedRun run, String outcome) {
    metrics.requestEnded(
        context.clock().nowNanos() - request.arrivedAtNanos(), run.firstByteNanos());
    LOG.info(
        RelayEvent.ROUTED_ENDED,
        "request",
        id,
        "route",
        request.route().name(),
        "version",
        request.version(),
        "account",
        request.account(),
        "attempts",
        run.attempts(),
        "events",
        run.events(),
        "outcome",
        outcome,
        "firstMillis",
        TimeUnit.NANOSECONDS.toMillis(run.firstByteNanos()),
        "millis",
        millisSince(request.arrivedAtNanos()));
  }

  private WorkRequest work(
      RequestId id,
      RoutedRequest request,
      @Nullable ServedAccount account,
      long fingerprint,
      long sample,
      boolean runsModels) {
    ServingRoute route = request.route();
    IncomingRequest incoming = request.incoming();
    PoolId pool = request.pool();
    int priority = account != null && account.priority() >= 0 ? account.priority() : -1;
    return new WorkRequest(
        // A caller may reuse an identifier concurrently; admission needs a unique one per request.
        new RequestId(id.value() + "/" + nextRequest.incrementAndGet()),
        account == null ? WorkRequest.OPEN_ROUTE_ACCOUNT : account.account(),
        new ItemName(runsModels ? incoming.model() : pool.value()),
        pool,
        runsModels ? WorkRequest.WorkKind.MODEL_COMPLETION : WorkRequest.WorkKind.SERVICE_CALL,
        route.allowsReexecution()
            ? WorkRequest.Repeatability.IDEMPOTENT
            : WorkRequest.Repeatability.AT_MOST_ONCE,
        incoming.promptTokens(),
        incoming.expectedOutputTokens(),
        runsModels ? sharedParts(incoming) : List.of(),
        List.of(),
        fingerprint,
        request.deadlineNanos(),
        sample,
        terms(route, incoming, priority, request.origin()));
  }

  /** The caller's host field may name the port of this instance, so the route's host counts. */
  private static long fingerprint(RoutedRequest request) {
    return RequestFingerprint.of(
        request.method(),
        request.route().host(),
        request.target(),
        request.account(),
        request.body());
  }

  /** Returns the hashes of all parts but the last, which belongs to the request or its session. */
  private static List<Long> sharedParts(IncomingRequest incoming) {
    List<PromptPart> parts = incoming.promptParts();
    return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::hash).toList();
  }

  private static RequestOptions terms(
      ServingRoute route, IncomingRequest incoming, int priority, @Nullable StreamOrigin origin) {
    List<PromptPart> parts = incoming.promptParts();
    int sharedTokens = 0;
    long affinity = 0;
    for (int i = 0; i + 1 < parts.size(); i++) {
      sharedTokens += parts.get(i).tokens();
      affinity = parts.get(i).hash();
    }
    boolean hasSharedPrefix = sharedTokens >= MINIMUM_SHARED_TOKENS;
    return new RequestOptions(
        Math.max(1, route.maximumAttempts()),
        priority >= 0 ? priority : route.priority(),
        hasSharedPrefix ? affinity : 0,
        hasSharedPrefix ? sharedTokens : 0,
        origin == null ? null : origin.softwareVersion());
  }

  private IncomingRequest incoming(HttpServerExchange http) {
    return dependencies.codec().read(name -> http.getRequestHeaders().getFirst(name));
  }

  private static String target(HttpServerExchange http, String path) {
    String query = http.getQueryString();
    return query == null || query.isEmpty() ? path : path + "?" + query;
  }

  private long millisSince(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - sinceNanos);
  }
}
