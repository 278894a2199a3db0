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
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.model.serving.ServedAccount;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.IncomingRequest;
import org.teaseltrestle.node.port.PromptPart;
import org.teaseltrestle.policy.WorkRequest;
import org.teaseltrestle.policy.WorkTerms;

/** Interface of routed requests: the serving configuration says what is served, and how. */
final class RoutedInterface implements CallerInterface, AutoCloseable {

  private static final EventLog LOG = EventLog.of(RoutedInterface.class);

  /** Shortest shared part that is worth sending requests to the same engine for, in tokens. */
  private static final int LEAST_SHARED_TOKENS = 64;

  /** Time before the caller's own deadline at which its answer has to be on its way. */
  private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int FIRST_SERVER_ERROR = 500;

  private final RelayContext context;
  private final RoutedSetup setup;
  private final BodyReader bodies;
  private final RelayMetrics metrics;
  private final AttemptDeadlines deadlines;
  private final AtomicLong nextRequest = new AtomicLong();

  RoutedInterface(
      RelayContext context, RoutedSetup setup, BodyReader bodies, RelayMetrics metrics) {
    this.context = context;
    this.setup = setup;
    this.bodies = bodies;
    this.metrics = metrics;
    this.deadlines = new AttemptDeadlines(context.clock());
  }

  @Override
  public RequestId identify(HttpServerExchange exchange) {
    String stated = incoming(exchange).callerId();
    return new RequestId(Identifiers.isValid(stated) ? stated : "unnamed");
  }

  @Override
  public boolean answerPage(HttpServerExchange exchange, String path) {
    return false;
  }

  @Override
  public void serve(HttpServerExchange http, RequestId id, String path, CallerResponse response) {
    long arrivedAtNanos = context.clock().nowNanos();
    try {
      admit(http, id, path, response, arrivedAtNanos);
    } catch (RefusalException e) {
      LOG.info(
          RelayEvent.ROUTED_REFUSED,
          "request",
          id,
          "code",
          e.refusal().wireName(),
          "notRun",
          e.notRun(),
          "status",
          status(e),
          "afterMillis",
          millisSince(arrivedAtNanos),
          "reason",
          String.valueOf(e.getMessage()));
      throw e;
    }
  }

  @Override
  public int status(RefusalException refusal) {
    int status = refusal.refusal().httpStatus();
    if (status < FIRST_SERVER_ERROR && status != 429 && status != 408) {
      return status;
    }
    if (refusal.notRun() == NotRun.CERTAIN) {
      // Every such status promises the same; this one also lets calls that run once come back.
      return SERVICE_UNAVAILABLE;
    }
    return status == SERVICE_UNAVAILABLE || status < FIRST_SERVER_ERROR ? BAD_GATEWAY : status;
  }

  @Override
  public @Nullable String retryAfter(RefusalException refusal) {
    Duration wait = RefusalAnswer.wait(refusal);
    return wait == null || refusal.notRun() != NotRun.CERTAIN
        ? null
        : String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLIS_PER_SECOND);
  }

  @Override
  public void failBegun(CallerResponse response, RefusalException refusal, RequestId request) {
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
    context.gate().requireReady();
    ServingConfiguration configuration = setup.serving().current();
    if (configuration == null) {
      throw new RefusalException(RefusalCode.NOT_READY, "no configuration is known yet");
    }
    String host = http.getRequestHeaders().getFirst(Headers.HOST);
    ServingRoute route = configuration.route(host == null ? "" : host, path);
    if (route == null) {
      throw new RefusalException(
          RefusalCode.UNKNOWN_ROUTE, "no route matches in version " + configuration.version());
    }
    IncomingRequest incoming = incoming(http);
    ServedAccount account = account(configuration, route, incoming);
    byte[] body = bodies.read(http);
    long sample = ThreadLocalRandom.current().nextLong();
    RoutedRequest request =
        new RoutedRequest(
            route,
            configuration.version(),
            route.poolFor(sample),
            account == null ? null : account.account(),
            incoming,
            http.getRequestMethod().toString(),
            target(http, path),
            HeaderRules.endToEnd(http.getRequestHeaders()),
            body,
            arrivedAtNanos,
            deadline(route, incoming, arrivedAtNanos));
    run(http, id, request, account, response, sample);
  }

  private static @Nullable ServedAccount account(
      ServingConfiguration configuration, ServingRoute route, IncomingRequest incoming) {
    if (!configuration.needsKeys() || route.has(ServingRoute.Feature.OPEN_TO_ALL)) {
      return null;
    }
    String key = incoming.key();
    if (key == null) {
      throw new RefusalException(RefusalCode.KEY_MISSING, "the request bears no key");
    }
    ServedAccount account = configuration.accountOf(key);
    if (account == null) {
      throw new RefusalException(
          RefusalCode.KEY_UNKNOWN, "the key is not known in version " + configuration.version());
    }
    return account;
  }

  private static long deadline(ServingRoute route, IncomingRequest incoming, long arrivedAtNanos) {
    long patience = Math.min(incoming.patienceMillis(), TimeUnit.DAYS.toMillis(1));
    long byCaller = TimeUnit.MILLISECONDS.toNanos(patience) - ANSWER_MARGIN_NANOS;
    long byRoute = TimeUnit.MILLISECONDS.toNanos(route.longestWaitMillis());
    return arrivedAtNanos + Math.max(1, Math.min(byCaller, byRoute));
  }

  private void run(
      HttpServerExchange http,
      RequestId id,
      RoutedRequest request,
      @Nullable ServedAccount account,
      CallerResponse response,
      long sample) {
    WorkRequest work = work(id, request, account, sample);
    Caller caller = new Caller(work.account(), null, null);
    boolean cancels = request.route().kind() != ServingRoute.Kind.AT_MOST_ONCE;
    RequestMailbox mailbox =
        new RequestMailbox(
            work.request(),
            null,
            cancels ? RequestMailbox.OnCallerLeft.CANCEL : RequestMailbox.OnCallerLeft.FINISH);
    String outcome = "failed";
    RequestLife life = new RequestLife(context, caller, work, mailbox);
    CallerWatch watch = CallerWatch.start(http, mailbox::callerLeft);
    RoutedRun run =
        new RoutedRun(
            context, setup, deadlines, id, request, life, response, () -> endWatch(watch));
    try (life) {
      run.run();
      outcome = "answered";
    } catch (CallerGoneException e) {
      outcome = "caller_left";
      throw e;
    } catch (RefusalException e) {
      outcome = e.refusal().wireName();
      throw e;
    } finally {
      endWatch(watch);
      ended(id, request, run, outcome);
    }
  }

  private static void endWatch(@Nullable CallerWatch watch) {
    if (watch != null) {
      watch.close();
    }
  }

  private void ended(RequestId id, RoutedRequest request, RoutedRun run, String outcome) {
    metrics.ended(context.clock().nowNanos() - request.arrivedAtNanos(), run.firstByteNanos());
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
        "outcome",
        outcome,
        "firstMillis",
        TimeUnit.NANOSECONDS.toMillis(run.firstByteNanos()),
        "millis",
        millisSince(request.arrivedAtNanos()));
  }

  private WorkRequest work(
      RequestId id, RoutedRequest request, @Nullable ServedAccount account, long sample) {
    ServingRoute route = request.route();
    IncomingRequest incoming = request.incoming();
    boolean model = route.has(ServingRoute.Feature.DESCRIBES_PROMPTS);
    PoolId pool = request.pool();
    int priority = account != null && account.priority() >= 0 ? account.priority() : -1;
    return new WorkRequest(
        // A caller may use an identifier twice at the same time; the decisions need one each.
        new RequestId(id.value() + "/" + nextRequest.incrementAndGet()),
        account == null ? WorkRequest.OPEN_ROUTE_ACCOUNT : account.account(),
        new ItemName(model ? incoming.model() : pool.value()),
        pool,
        model ? WorkRequest.WorkKind.MODEL_COMPLETION : WorkRequest.WorkKind.SERVICE_CALL,
        route.mayRepeat() ? WorkRequest.Repeatable.IDEMPOTENT : WorkRequest.Repeatable.AT_MOST_ONCE,
        incoming.promptTokens(),
        incoming.expectedOutputTokens(),
        List.of(),
        request.deadlineNanos(),
        sample,
        terms(route, incoming, priority));
  }

  private static WorkTerms terms(ServingRoute route, IncomingRequest incoming, int priority) {
    List<PromptPart> parts = incoming.promptParts();
    int shared = 0;
    long affinity = 0;
    for (int i = 0; i + 1 < parts.size(); i++) {
      shared += parts.get(i).tokens();
      affinity = parts.get(i).hash();
    }
    boolean shares = shared >= LEAST_SHARED_TOKENS;
    return new WorkTerms(
        Math.max(1, route.maximumAttempts()),
        priority >= 0 ? priority : route.priority(),
        shares ? affinity : 0,
        shares ? shared : 0);
  }

  private IncomingRequest incoming(HttpServerExchange http) {
    return setup.codec().read(name -> http.getRequestHeaders().getFirst(name));
  }

  private static String target(HttpServerExchange http, String path) {
    String query = http.getQueryString();
    return query == null || query.isEmpty() ? path : path + "?" + query;
  }

  private long millisSince(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - sinceNanos);
  }
}
