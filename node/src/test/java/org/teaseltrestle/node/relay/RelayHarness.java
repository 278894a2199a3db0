package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpEngineClient;
import org.teaseltrestle.node.backend.HttpServiceClient;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.policy.AdmissionCore;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.PolicyConfiguration;

/** Relay with the real admission core in front of fake servers. */
final class RelayHarness implements AutoCloseable, ServerDirectory {

  static final String CHAT =
      "{\"model\":\"pren-7b\",\"messages\":[{\"role\":\"user\",\"content\":\"two words\"}]}";
  static final String CHAT_STREAM = CHAT.replace("\"model\"", "\"stream\":true,\"model\"");

  final StubControl control = new StubControl();
  final MetricRegistry metrics = new MetricRegistry();
  final LocalUsageRecorder usage = new LocalUsageRecorder(metrics);
  final RelayService relay;
  final AtomicInteger arrived = new AtomicInteger();
  volatile boolean serversKnown = true;
  final Set<BackendServerId> leaving = ConcurrentHashMap.newKeySet();
  private final Map<BackendServerId, BackendServer> servers = new ConcurrentHashMap<>();
  private final BackendHttp http = new BackendHttp(Duration.ofSeconds(1), Duration.ofSeconds(5));
  private final AdmissionDuty admission;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  RelayHarness() {
    this(RelaySettings.builder());
  }

  RelayHarness(RelaySettings.Builder settings) {
    this(settings, Duration.ofMillis(50));
  }

  RelayHarness(RelaySettings.Builder settings, Duration shutdownDelay) {
    // Round robin, so that a test knows which fake server is called next.
    this(
        settings,
        shutdownDelay,
        PolicyConfiguration.builder()
            .replicaChoice(PolicyConfiguration.ReplicaChoice.ROUND_ROBIN)
            .build());
  }

  RelayHarness(RelaySettings.Builder settings, Duration shutdownDelay, PolicyConfiguration policy) {
    this(settings, shutdownDelay, policy, null);
  }

  /** Creates a relay that calls services through a client of the test. */
  RelayHarness(ServiceClient services) {
    this(
        RelaySettings.builder(),
        Duration.ofMillis(50),
        PolicyConfiguration.builder().build(),
        services);
  }

  private RelayHarness(
      RelaySettings.Builder settings,
      Duration shutdownDelay,
      PolicyConfiguration policy,
      @Nullable ServiceClient services) {
    AdmissionCore core = new AdmissionCore(policy);
    admission =
        new AdmissionDuty(
            (event, nowNanos) -> {
              if (event instanceof AdmissionEvent.RequestArrived) {
                arrived.incrementAndGet();
              }
              return core.handle(event, nowNanos);
            },
            control,
            new RelayInstances(new InstanceId("entry-1"), registered -> true),
            MonotonicClock.SYSTEM,
            control.reportTimes,
            metrics);
    admission.start();
    relay =
        RelayService.builder()
            .settings(settings.shutdownDelay(shutdownDelay).build())
            .metrics(metrics)
            .control(control)
            .admission(admission)
            .directory(this)
            .backends(
                new HttpEngineClient(http),
                services == null ? new HttpServiceClient(http) : services)
            .usage(usage)
            .identity(new InstanceId("entry-1"), 7)
            .build();
    relay.start();
  }

  /** Adds fake servers as engines (pool models) or services (pool services). */
  RelayHarness with(String pool, FakeServer... fakes) {
    for (FakeServer fake : fakes) {
      add(pool, fake.address());
    }
    return this;
  }

  void add(String pool, String address) {
    BackendServerId id = new BackendServerId(pool + "-" + servers.size());
    servers.put(
        id,
        new BackendServer(
            id,
            new PoolId(pool),
            new FailureDomain("caerdydd"),
            address,
            Set.of(new ItemName("pren-7b")),
            BackendServer.Capacity.REGULAR,
            BackendServer.State.LIVE));
    admission.offer(new AdmissionEvent.FleetChanged(new ArrayList<>(servers.values())));
  }

  HttpResponse<String> chat(String body) {
    return send(chatRequest(body));
  }

  HttpRequest.Builder chatRequest(String body) {
    return request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
  }

  HttpRequest.Builder request(String target) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + target))
        .timeout(Duration.ofSeconds(20))
        .header("Authorization", "Bearer " + StubControl.KEY);
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  long counter(String name) {
    return metrics.counter(name).getCount();
  }

  static void await(BooleanSupplier condition) {
    await(Duration.ofSeconds(10), condition);
  }

  static void await(Duration timeout, BooleanSupplier condition) {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("condition was not met in time");
      }
      LockSupport.parkNanos(1_000_000);
    }
  }

  static List<String> events(String stream) {
    List<String> events = new ArrayList<>();
    for (String line : stream.split("\n", -1)) {
      if (line.startsWith("data: ")) {
        events.add(line.substring(6));
      }
    }
    return events;
  }

  @Override
  public boolean isKnown() {
    return serversKnown;
  }

  @Override
  public @Nullable BackendServer find(BackendServerId server) {
    return servers.get(server);
  }

  @Override
  public void reportLeaving(BackendServerId server) {
    leaving.add(server);
  }

  @Override
  public void reportLost(BackendServerId server) {
    // The fleet duty, which ejects servers, does not run in these tests.
  }

  @Override
  public int pieceTokens(PoolId pool) {
    return 16;
  }

  @Override
  public void close() {
    relay.close();
    admission.close();
    http.close();
  }
}
