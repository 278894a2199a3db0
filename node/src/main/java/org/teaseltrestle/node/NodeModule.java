package org.teaseltrestle.node;

import com.codahale.metrics.MetricRegistry;
import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import org.teaseltrestle.control.ConfirmationTracker;
import org.teaseltrestle.control.KeyVerifier;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.ServiceRegistry;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.node.backend.BackendHttp;
import org.teaseltrestle.node.backend.HttpEngineClient;
import org.teaseltrestle.node.backend.HttpExternalClients;
import org.teaseltrestle.node.backend.HttpFleetSource;
import org.teaseltrestle.node.backend.HttpServiceClient;
import org.teaseltrestle.node.fleet.FleetDuty;
import org.teaseltrestle.node.fleet.FleetSettings;
import org.teaseltrestle.node.metrics.ProcessMetrics;
import org.teaseltrestle.node.operators.OperatorService;
import org.teaseltrestle.node.orders.ListsFleetPlanner;
import org.teaseltrestle.node.orders.OrdersDuty;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.FleetSource;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.relay.AdmissionDuty;
import org.teaseltrestle.node.relay.DemandMeter;
import org.teaseltrestle.node.relay.RelayInstances;
import org.teaseltrestle.node.relay.RelayService;
import org.teaseltrestle.node.relay.RelaySettings;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.replica.ControlPlaneContext;
import org.teaseltrestle.node.replica.ControlPlaneSettings;
import org.teaseltrestle.node.replica.ControlPlanes;
import org.teaseltrestle.node.replica.MessageHandlerRegistry;
import org.teaseltrestle.node.replica.PeerAddresses;
import org.teaseltrestle.node.settings.NodeSettings;
import org.teaseltrestle.node.settings.PolicySettings;
import org.teaseltrestle.node.usage.UsageService;
import org.teaseltrestle.policy.AdmissionCore;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.PolicyConfiguration;
import org.teaseltrestle.policy.fleet.RoleController;
import org.teaseltrestle.policy.fleet.SpendingController;
import org.teaseltrestle.transport.NettyPeerTransport;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.transport.TransportConfiguration;

/** Dagger module that builds the services of a node from its settings. */
@Module
final class NodeModule {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

  private final NodeSettings settings;
  private final SecureRandom random = new SecureRandom();
  private final long boot = random.nextLong();

  NodeModule(NodeSettings settings) {
    this.settings = settings;
  }

  @Provides
  NodeSettings settings() {
    return settings;
  }

  @Provides
  MonotonicClock monotonicClock() {
    return MonotonicClock.SYSTEM;
  }

  @Provides
  WallClock wallClock() {
    return WallClock.SYSTEM;
  }

  @Provides
  @Singleton
  Closer closer() {
    return new Closer();
  }

  @Provides
  @Singleton
  ServiceRegistry serviceRegistry() {
    return new ServiceRegistry();
  }

  @Provides
  @Singleton
  MetricRegistry metrics() {
    return new MetricRegistry();
  }

  @Provides
  @Singleton
  PeerTransport transport(
      MonotonicClock clock, Closer closer, ServiceRegistry services, MetricRegistry metrics) {
    TransportConfiguration configuration =
        TransportConfiguration.builder()
            .instance(settings.instance())
            .boot(boot)
            .listenAddress(settings.peerAddress())
            .tls(settings.tls())
            .build();
    NettyPeerTransport transport = closer.register(new NettyPeerTransport(configuration, clock));
    ProcessMetrics.register(metrics, transport.statistics());
    return services.register(PeerTransport.NAME, transport);
  }

  @Provides
  @Singleton
  ControlPlaneSettings controlPlaneSettings() {
    return ControlPlaneSettings.of(settings, boot);
  }

  @Provides
  @Singleton
  ControlPlane controlPlane(
      ControlPlaneSettings controlSettings,
      PeerTransport transport,
      MonotonicClock clock,
      WallClock wallClock,
      DemandMeter demandMeter,
      Lazy<AdmissionDuty> admission) {
    ControlPlaneContext context =
        new ControlPlaneContext(
            transport,
            new MessageHandlerRegistry(transport),
            clock,
            wallClock,
            demandMeter,
            (shares, totalDemand, expiresAtNanos, defaultShare) ->
                admission
                    .get()
                    .offer(
                        new AdmissionEvent.SharesGranted(
                            shares, totalDemand, expiresAtNanos, defaultShare)));
    return ControlPlanes.open(controlSettings, context, random);
  }

  @Provides
  @Singleton
  DemandMeter demandMeter(MonotonicClock clock) {
    PolicySettings policy = settings.policy();
    PolicyConfiguration configuration =
        PolicyConfiguration.builder()
            .replicaChoice(policy.replicaChoice())
            .queueing(policy.queueing())
            .roles(policy.roles())
            .spending(policy.spending())
            .ownFailureDomain(settings.failureDomain())
            .build();
    return new DemandMeter(new AdmissionCore(configuration)::handle, clock);
  }

  @Provides
  @Singleton
  AdmissionDuty admission(
      DemandMeter demandMeter,
      ControlPlane control,
      MonotonicClock clock,
      WallClock wallClock,
      MetricRegistry metrics) {
    return new AdmissionDuty(
        demandMeter,
        control,
        new RelayInstances(settings.instance(), instance -> true),
        clock,
        wallClock,
        metrics);
  }

  @Provides
  @Singleton
  BackendHttp backendHttp(Closer closer) {
    return closer.register(new BackendHttp(CONNECT_TIMEOUT, WRITE_TIMEOUT));
  }

  @Provides
  @Singleton
  EngineClient engineClient(BackendHttp http) {
    return new HttpEngineClient(http);
  }

  @Provides
  @Singleton
  ServiceClient serviceClient(BackendHttp http) {
    return new HttpServiceClient(http);
  }

  @Provides
  @Singleton
  FleetSource fleetSource(BackendHttp http) {
    return new HttpFleetSource(http, settings.platformAddress());
  }

  @Provides
  @Singleton
  FleetDuty fleet(
      ControlPlane control,
      FleetSource fleetSource,
      EngineClient engines,
      ServiceClient services,
      MonotonicClock clock,
      AdmissionDuty admission) {
    return new FleetDuty(
        FleetSettings.of(settings.instance(), settings.failureDomain()),
        control,
        fleetSource,
        engines,
        services,
        clock,
        admission::offer);
  }

  @Provides
  @Singleton
  UsageService usage(
      ControlPlane control,
      ControlPlaneSettings controlSettings,
      PeerTransport transport,
      MonotonicClock clock,
      WallClock wallClock) {
    PeerAddresses addresses = new PeerAddresses(controlSettings);
    return new UsageService(
        settings.instance(),
        settings.failureDomain(),
        boot,
        settings.usageWindowSeconds(),
        control,
        transport,
        instance -> true,
        instance -> {
          addresses.update(control.view());
          return addresses.find(instance);
        },
        clock,
        wallClock);
  }

  @Provides
  @Singleton
  RelayService relay(
      ControlPlaneSettings controlSettings,
      ControlPlane control,
      AdmissionDuty admission,
      FleetDuty fleet,
      EngineClient engines,
      ServiceClient services,
      UsageService usage,
      MetricRegistry metrics,
      MonotonicClock clock,
      WallClock wallClock) {
    InetSocketAddress address = settings.callerAddress();
    RelaySettings relaySettings =
        RelaySettings.builder()
            .host(address.getHostString())
            .port(address.getPort())
            .relayThreads(settings.relayThreads())
            .shutdownDelay(Duration.ofMillis(settings.shutdownDelayMilliseconds()))
            .maximumKnowledgeAge(Duration.ofNanos(controlSettings.tree().rootTimeoutNanos()))
            .build();
    return RelayService.builder()
        .settings(relaySettings)
        .metrics(metrics)
        .clocks(clock, wallClock)
        .control(control)
        .admission(admission)
        .directory(fleet)
        .backends(engines, services)
        .usage(usage)
        .identity(settings.instance(), boot)
        .build();
  }

  @Provides
  @Singleton
  ConfirmationTracker confirmations(ControlPlane control, MonotonicClock clock) {
    return new LeaderConfirmations(control, clock, WallClock.SYSTEM);
  }

  @Provides
  @Singleton
  OperatorService operators(
      ControlPlane control, ConfirmationTracker confirmations, WallClock wallClock) {
    return new OperatorService(
        settings.instance(), control, confirmations, wallClock, this::randomKeyBytes);
  }

  @Provides
  @Singleton
  OrdersDuty orders(
      ControlPlane control, BackendHttp http, MonotonicClock clock, WallClock wallClock) {
    HttpExternalClients clients = new HttpExternalClients(http, settings.platformAddress());
    PolicySettings policy = settings.policy();
    ListsFleetPlanner fleetPlanner =
        new ListsFleetPlanner(
            new RoleController(policy.roles(), RoleController.Settings.DEFAULT),
            new SpendingController(policy.spending(), SpendingController.Settings.DEFAULT),
            policy.engineRates(),
            control::poolDemand,
            clock.nowNanos());
    return new OrdersDuty(
        settings.instance(),
        boot,
        settings.usageWindowSeconds(),
        control,
        clients.externalClients(),
        fleetPlanner,
        clock,
        wallClock);
  }

  private byte[] randomKeyBytes() {
    byte[] bytes = new byte[KeyVerifier.RANDOM_BYTES];
    random.nextBytes(bytes);
    return bytes;
  }
}
