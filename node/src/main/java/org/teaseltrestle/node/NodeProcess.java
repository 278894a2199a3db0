package org.teaseltrestle.node;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.ServiceRegistry;
import org.teaseltrestle.node.fleet.FleetDuty;
import org.teaseltrestle.node.operators.OperatorServer;
import org.teaseltrestle.node.operators.OperatorService;
import org.teaseltrestle.node.operators.OperatorToken;
import org.teaseltrestle.node.orders.OrdersDuty;
import org.teaseltrestle.node.relay.AdmissionDuty;
import org.teaseltrestle.node.relay.RelayService;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.node.settings.NodeSettings;
import org.teaseltrestle.node.usage.UsageService;

/** Starts the services of a node in the order of their dependencies and stops them in reverse. */
@Singleton
public final class NodeProcess {

  private static final EventLog LOG = EventLog.of(NodeProcess.class);

  private final NodeSettings settings;
  private final Closer closer;
  private final ServiceRegistry services;
  private final ControlPlane control;
  private final AdmissionDuty admission;
  private final FleetDuty fleet;
  private final UsageService usage;
  private final RelayService relay;
  private final OrdersDuty orders;
  private final OperatorService operators;

  @Inject
  NodeProcess(
      NodeSettings settings,
      Closer closer,
      ServiceRegistry services,
      ControlPlane control,
      AdmissionDuty admission,
      FleetDuty fleet,
      UsageService usage,
      RelayService relay,
      OrdersDuty orders,
      OperatorService operators) {
    this.settings = settings;
    this.closer = closer;
    this.services = services;
    this.control = control;
    this.admission = admission;
    this.fleet = fleet;
    this.usage = usage;
    this.relay = relay;
    this.orders = orders;
    this.operators = operators;
  }

  /** Starts all services; the relay of callers' requests starts last. */
  public void start() {
    services.register(ControlPlane.NAME, control);
    services.register(UsageService.NAME, usage);
    closer.register(control);
    usage.start();
    closer.register(usage);
    admission.start();
    closer.register(admission);
    fleet.start();
    closer.register(fleet);
    orders.start();
    closer.register(orders);
    closer.register(
        OperatorServer.start(
            settings.operatorAddress(),
            OperatorToken.load(settings.operatorTokenFile()),
            operators));
    relay.start();
    closer.register(relay);
    LOG.info(
        NodeEvent.NODE_STARTED,
        "instance",
        settings.instance(),
        "failureDomain",
        settings.failureDomain());
  }

  /**
   * Waits for running requests to finish, then stops all services; returns when all have stopped.
   */
  public void shutdown() {
    LOG.info(NodeEvent.NODE_STOPPING, "instance", settings.instance());
    relay.shutdown();
    closer.close();
    LOG.info(NodeEvent.NODE_STOPPED, "instance", settings.instance());
  }
}
