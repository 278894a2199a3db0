package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.EngineProfile;
import org.teaseltrestle.model.serving.ServedAccount;
import org.teaseltrestle.model.serving.ServedPool;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.model.serving.WeightedPool;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpEngineClient;
import org.teaseltrestle.node.backend.HttpRoutedClient;
import org.teaseltrestle.node.backend.HttpServiceClient;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.StreamOrigins;
import org.teaseltrestle.node.replica.DisseminationTreeSettings;
import org.teaseltrestle.node.serving.ServingConfigurationView;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionCore;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.PlanLimits;
import org.teaseltrestle.policy.PolicyConfiguration;
import org.teaseltrestle.policy.WorkRequest;

/** Relay with several routes in front of fake servers that are called round robin. */
final class RoutedHarness implements AutoCloseable, ServerDirectory {

  static final Duration MAXIMUM_KNOWLEDGE_AGE =
      Duration.ofNanos(DisseminationTreeSettings.FLAT.rootTimeoutNanos());

  private final ControlGateway control;
  private final BackendHttp http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(5));
  private final List<BackendServer> servers = new ArrayList<>();
  private final AdmissionCore core;
  private final AdmissionDuty admission;
  private final MetricRegistry metrics = new MetricRegistry();
  private final RelayService relay;
  final BlockingQueue<AdmissionEvent.ServerLimitNamed> namedLimits = new LinkedBlockingQueue<>();
  private volatile @Nullable BackendServerId prefillEngine;
  private volatile CallerLimits limits = CallerLimits.DEFAULT;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  RoutedHarness(FakeServer... fakes) {
    this(List.of(), fakes);
  }

  /** Creates a relay that requires a key unless there are no accounts. */
  RoutedHarness(List<ServedAccount> accounts, FakeServer... fakes) {
    this(new StubControl(), accounts, fakes);
  }

  /** Creates a relay that shares its control state with others. */
  RoutedHarness(StubControl control, List<ServedAccount> accounts, FakeServer... fakes) {
    this(control, accounts, ByteBudget.ofHeap(), null, fakes);
  }

  /**
   * Creates a relay on a control plane. A line {@code route PREFIX} of the published document adds
   * a route, and {@code key KEY} an account, so that requests require a key.
   */
  RoutedHarness(ControlGateway control, FakeServer... fakes) {
    this(control, WallClock.SYSTEM, List.of(), ByteBudget.ofHeap(), null, fakes);
  }

  /** Creates a relay whose requests share a number of bytes. */
  RoutedHarness(ByteBudget memory, FakeServer... fakes) {
    this(new StubControl(), List.of(), memory, null, fakes);
  }

  /** Creates a relay that calls its servers through a client of the test. */
  RoutedHarness(ByteBudget memory, RoutedClient routedClient, FakeServer... fakes) {
    this(new StubControl(), List.of(), memory, routedClient, fakes);
  }

  /** Creates a relay whose servers have the given software versions. */
  RoutedHarness(
      StubControl control, StreamOrigins streams, List<String> versions, FakeServer... fakes) {
    this(
        withDocument(control),
        control.reportTimes,
        List.of(),
        ByteBudget.ofHeap(),
        null,
        streams,
        versions,
        fakes);
  }

  private RoutedHarness(
      StubControl control,
      List<ServedAccount> accounts,
      ByteBudget memory,
      @Nullable RoutedClient routedClient,
      FakeServer... fakes) {
    this(withDocument(control), control.reportTimes, accounts, memory, routedClient, fakes);
  }

  private RoutedHarness(
      ControlGateway control,
      WallClock reportTimes,
      List<ServedAccount> accounts,
      ByteBudget memory,
      @Nullable RoutedClient routedClient,
      FakeServer... fakes) {
    this(
        control,
        reportTimes,
        accounts,
        memory,
        routedClient,
        StreamOrigins.NONE,
        Collections.nCopies(fakes.length, ""),
        fakes);
  }

  private RoutedHarness(
      ControlGateway control,
      WallClock reportTimes,
      List<ServedAccount> accounts,
      ByteBudget memory,
      @Nullable RoutedClient routedClient,
      StreamOrigins streams,
      List<String> versions,
      FakeServer... fakes) {
    this.control = control;
    for (FakeServer fake : fakes) {
      servers.add(
          new BackendServer(
              new BackendServerId("s" + servers.size()),
              new PoolId("pool"),
              new FailureDomain("a"),
              fake.address(),
              Set.of(new ItemName("model")),
              BackendServer.Capacity.REGULAR,
              BackendServer.State.LIVE,
              EngineRole.MIXED,
              versions.get(servers.size())));
    }
    PolicyConfiguration policy =
        PolicyConfiguration.builder()
            .replicaChoice(PolicyConfiguration.ReplicaChoice.ROUND_ROBIN)
            .accountsWithoutPlan(PolicyConfiguration.AccountsWithoutPlan.UNLIMITED)
            .openRouteLimits(PlanLimits.unlimited(WorkRequest.OPEN_ROUTE_ACCOUNT))
            .build();
    core = new AdmissionCore(policy);
    admission =
        new AdmissionDuty(
            this::decide,
            control,
            new RelayInstances(new InstanceId("entry-1"), registered -> true),
            MonotonicClock.SYSTEM,
            reportTimes,
            metrics);
    admission.start();
    admission.offer(new AdmissionEvent.FleetChanged(servers));
    relay =
        RelayService.builder()
            .settings(RelaySettings.builder().maximumKnowledgeAge(MAXIMUM_KNOWLEDGE_AGE).build())
            .metrics(metrics)
            .memory(memory)
            .control(control)
            .admission(admission)
            .directory(this)
            .backends(new HttpEngineClient(http), new HttpServiceClient(http))
            .usage(new LocalUsageRecorder(metrics))
            .identity(new InstanceId("entry-1"), 7)
            .routed(
                new RoutedRelayDependencies(
                    new PlainRequestCodec(),
                    routedClient == null ? new HttpRoutedClient(http) : routedClient,
                    new ServingConfigurationView(
                        control, document -> configuration(accounts, new String(document, UTF_8))),
                    streams))
            .build();
    relay.start();
  }

  /** Prefills the prompts of all further attempts at another server than the one that runs them. */
  void prefillAt(BackendServerId server) {
    prefillEngine = server;
  }

  private List<AdmissionAction> decide(AdmissionEvent event, long nowNanos) {
    if (event instanceof AdmissionEvent.ServerLimitNamed named) {
      namedLimits.add(named);
    }
    BackendServerId prefill = prefillEngine;
    List<AdmissionAction> actions = core.handle(event, nowNanos);
    return prefill == null
        ? actions
        : actions.stream().map(action -> withPrefill(action, prefill)).toList();
  }

  private static AdmissionAction withPrefill(AdmissionAction action, BackendServerId prefill) {
    return action instanceof AdmissionAction.Dispatch dispatch
        ? new AdmissionAction.Dispatch(
            dispatch.request(), dispatch.attempt(), dispatch.server(), dispatch.priority(), prefill)
        : action;
  }

  /** Publishes a configuration with other limits on requests. */
  void publishLimits(CallerLimits changed) {
    limits = changed;
    ((StubControl) control).documentVersion++;
  }

  private static StubControl withDocument(StubControl control) {
    control.document = ByteString.copyFromUtf8("any");
    return control;
  }

  private static Stream<String> values(String document, String name) {
    String start = name + " ";
    return document
        .lines()
        .filter(line -> line.startsWith(start))
        .map(line -> line.substring(start.length()));
  }

  private ServingConfiguration configuration(List<ServedAccount> accounts, String document) {
    List<ServedAccount> allAccounts = new ArrayList<>(accounts);
    values(document, "key")
        .map(key -> new ServedAccount(new ClientAccount("holder-" + key), Set.of(key), 0))
        .forEach(allAccounts::add);
    List<ServingRoute> routes = new ArrayList<>(routes());
    values(document, "route")
        .map(prefix -> route(prefix, ServingRoute.Kind.IDEMPOTENT, Set.of()))
        .forEach(routes::add);
    return new ServingConfiguration(
        control.view().servingDocument().version(), routes, pools(), allAccounts, limits);
  }

  private static List<ServingRoute> routes() {
    return List.of(
        route(
            "/stream/",
            ServingRoute.Kind.STREAM,
            Set.of(ServingRoute.Feature.RESUMABLE, ServingRoute.Feature.CARRIES_PREFIX_HASHES)),
        route(
            "/single/",
            ServingRoute.Kind.STREAM,
            Set.of(ServingRoute.Feature.CARRIES_PREFIX_HASHES)),
        route("/plain/", ServingRoute.Kind.STREAM, Set.of(ServingRoute.Feature.RESUMABLE)),
        route("/safe/", ServingRoute.Kind.IDEMPOTENT, Set.of()),
        route("/call/", ServingRoute.Kind.AT_MOST_ONCE, Set.of()),
        route(
            "/without-engine/",
            ServingRoute.Kind.STREAM,
            Set.of(ServingRoute.Feature.CARRIES_PREFIX_HASHES),
            "plain"));
  }

  private static List<ServedPool> pools() {
    return List.of(
        new ServedPool(
            new PoolId("pool"),
            "/health",
            10,
            new EngineProfile(8, 4_096, List.of(new ItemName("model"))),
            null),
        new ServedPool(new PoolId("plain"), "/health", 10, null, null));
  }

  private static ServingRoute route(
      String prefix, ServingRoute.Kind kind, Set<ServingRoute.Feature> features) {
    return route(prefix, kind, features, "pool");
  }

  private static ServingRoute route(
      String prefix, ServingRoute.Kind kind, Set<ServingRoute.Feature> features, String pool) {
    return new ServingRoute(
        prefix,
        "127.0.0.1",
        prefix,
        kind,
        features,
        2,
        0,
        5_000,
        500,
        0,
        List.of(new WeightedPool(new PoolId(pool), 1)));
  }

  /** Lists another server, which belongs to a plain service and so runs no model. */
  void addPlainServer(FakeServer fake) {
    servers.add(
        new BackendServer(
            new BackendServerId("plain"),
            new PoolId("plain"),
            new FailureDomain("a"),
            fake.address(),
            Set.of(),
            BackendServer.Capacity.REGULAR,
            BackendServer.State.LIVE));
    admission.offer(new AdmissionEvent.FleetChanged(List.copyOf(servers)));
  }

  /** Returns the requests that wait or run; the value may be stale. */
  int requestsInFlight() {
    return core.openRequests();
  }

  int port() {
    return relay.port();
  }

  long counter(String name) {
    return metrics.counter(name).getCount();
  }

  HttpResponse<String> post(String path) {
    return post(path, "id-1", "none");
  }

  HttpResponse<String> post(String path, String id, String key) {
    return send(request(path, id, key));
  }

  /** Sends a request whose prompt has the given parts, hexadecimal hashes separated by commas. */
  HttpResponse<String> postPrompt(String path, String id, String parts) {
    return send(request(path, id, "none").header("Parts", parts));
  }

  private HttpRequest.Builder request(String path, String id, String key) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
        .header("X-Request-Id", id)
        .header("Key", key)
        .POST(HttpRequest.BodyPublishers.ofString("body"));
  }

  CompletableFuture<HttpResponse<String>> postAsync(String path, String id, byte[] body) {
    HttpRequest.Builder request =
        request(path, id, "none").POST(HttpRequest.BodyPublishers.ofByteArray(body));
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a body without stating its length. */
  CompletableFuture<HttpResponse<String>> postChunked(String path, String id, byte[] body) {
    HttpRequest.Builder request =
        request(path, id, "none")
            .POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)));
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (java.io.IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public boolean isKnown() {
    return true;
  }

  @Override
  public @Nullable BackendServer find(BackendServerId server) {
    return servers.stream().filter(each -> each.id().equals(server)).findFirst().orElse(null);
  }

  @Override
  public Set<String> softwareVersions(PoolId pool) {
    return servers.stream()
        .filter(each -> each.pool().equals(pool))
        .map(BackendServer::softwareVersion)
        .collect(Collectors.toSet());
  }

  @Override
  public void reportLeaving(BackendServerId server) {
    // The tests check only what callers receive.
  }

  @Override
  public void reportLost(BackendServerId server) {
    // The tests check only what callers receive.
  }

  @Override
  public int pieceTokens(PoolId pool) {
    return 0;
  }

  @Override
  public void close() {
    relay.close();
    admission.close();
    http.close();
  }
}
