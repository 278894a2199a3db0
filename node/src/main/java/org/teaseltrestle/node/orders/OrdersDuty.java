package org.teaseltrestle.node.orders;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.leader.LeaseTimings;
import org.teaseltrestle.control.leader.OrderDispatchPolicy;
import org.teaseltrestle.control.leader.OrderDispatchPolicy.CallOutcome;
import org.teaseltrestle.control.leader.UsageReporter;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.port.OrderResponse;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Performs the external actions of this process. While it holds the authority, it observes the
 * fleet, sends committed orders and reports usage windows; as the owner of an engine, it sends the
 * orders to that engine. The right to act is checked on the calling thread directly before each
 * send.
 */
public final class OrdersDuty implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(OrdersDuty.class);
  private static final int RING_CAPACITY = 256;
  private static final int CALL_THREADS = 4;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long OBSERVATION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final InstanceId instance;
  private final long boot;
  private final ControlPlane control;
  private final ExternalClients clients;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final ControlPlaneAuthority authority;
  private final OrderDispatchPolicy orderDispatch;
  private final UsageReporter usageReporter;
  private final FleetPlanner fleetPlanner;
  private final CommandProposer proposer;
  private final DutyThread<Runnable> duty;
  private final ExecutorService callExecutor;
  private boolean observationRunning;
  // Whether the committed fleet has matched the platform's list since this process gained the
  // authority. Decisions made before that bought servers that the platform already had.
  private boolean fleetMatchesPlatform;
  private long nextObservationNanos;

  /**
   * Creates the duty; {@link #start()} starts it.
   *
   * @param usageWindowSeconds duration of a usage window in seconds
   */
  public OrdersDuty(
      InstanceId instance,
      long boot,
      long usageWindowSeconds,
      ControlPlane control,
      ExternalClients clients,
      FleetPlanner fleetPlanner,
      MonotonicClock clock,
      WallClock wallClock) {
    this.instance = instance;
    this.boot = boot;
    this.control = control;
    this.clients = clients;
    this.clock = clock;
    this.wallClock = wallClock;
    this.authority = new ControlPlaneAuthority(control);
    long now = clock.nowNanos();
    this.orderDispatch =
        new OrderDispatchPolicy(instance.value(), boot, authority, LeaseTimings.DEFAULT, now);
    this.usageReporter = new UsageReporter(authority, usageWindowSeconds, now);
    this.fleetPlanner = fleetPlanner;
    this.proposer = new CommandProposer(control, wallClock, instance, boot);
    this.nextObservationNanos = now;
    this.duty =
        new DutyThread<>("orders", RING_CAPACITY, Runnable::run, this::tick, TICK_NANOS, clock);
    this.callExecutor =
        Executors.newFixedThreadPool(CALL_THREADS, new DaemonThreads("order-calls"));
  }

  /** Starts the duty thread. */
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
    callExecutor.shutdownNow();
  }

  private void tick(long nowNanos) {
    if (!control.isReady()) {
      return;
    }
    ControlView view = control.view();
    orderDispatch.handle(new OrderDispatchPolicy.Tick(view), nowNanos).forEach(this::perform);
    usageReporter
        .handle(new UsageReporter.Tick(view, wallClock.nowMillis()), nowNanos)
        .forEach(this::perform);
    if (authority.holdsLease(nowNanos) && view.authority().getTerm() == authority.term()) {
      // Reading needs no valid authority because it has no external effect.
      observeFleet(nowNanos);
      if (fleetMatchesPlatform && authority.mayAct(nowNanos)) {
        fleetPlanner.decide(view, orderDispatch, nowNanos).forEach(proposer::propose);
      }
    } else {
      fleetMatchesPlatform = false;
    }
  }

  private void perform(OrderDispatchPolicy.Action action) {
    if (action instanceof OrderDispatchPolicy.SendToEngine send) {
      sendToEngine(send.order());
    } else if (action instanceof OrderDispatchPolicy.SendToPlatform send) {
      sendToPlatform(send.order());
    } else {
      proposer.propose(OrderCommands.of(action, instance, boot));
    }
  }

  private void perform(UsageReporter.Action action) {
    if (action instanceof UsageReporter.Send send) {
      reportUsage(send.window(), send.fencingNumber());
    } else {
      proposer.propose(OrderCommands.of(action));
    }
  }

  private void sendToEngine(EngineOrder order) {
    submitCall(
        order.getOrderId(),
        () -> {
          if (!maySend(order)) {
            return new OrderResponse(
                OrderResponse.Kind.NOT_SENT, "this process may no longer send the order");
          }
          String address =
              control.view().backendServers().stream()
                  .filter(server -> server.getId().equals(order.getBackendServer()))
                  .map(BackendServerRecord::getAddress)
                  .findFirst()
                  .orElse("");
          return address.isEmpty()
              ? new OrderResponse(
                  OrderResponse.Kind.NOT_SENT, "engine is not in the committed fleet")
              : clients.engineOrders().send(address, order);
        });
  }

  private void sendToPlatform(PlatformOrder order) {
    submitCall(
        order.getOrderId(),
        () ->
            authority
                .valid(clock.nowNanos())
                .map(own -> clients.platformOrders().send(order, own.fencingNumber()))
                .orElseGet(
                    () ->
                        new OrderResponse(
                            OrderResponse.Kind.NOT_SENT,
                            "this process may no longer send the order")));
  }

  private boolean maySend(EngineOrder order) {
    if (order.getOwnerInstance().isEmpty()) {
      // A later authority of this process may follow that of another sender.
      return authority
          .valid(clock.nowNanos())
          .filter(own -> order.getFencingNumber() >= own.fencingNumber())
          .isPresent();
    }
    return control
        .view()
        .engineOwner(order.getBackendServer())
        .filter(owner -> owner.getInstance().equals(instance.value()) && owner.getBoot() == boot)
        .isPresent();
  }

  private void submitCall(String orderId, OrderCall call) {
    callExecutor.execute(
        () -> {
          OrderResponse response = sendOrFail(call);
          OrdersEvent event =
              response.kind() == OrderResponse.Kind.NOT_SENT
                  ? OrdersEvent.ORDER_NOT_SENT
                  : OrdersEvent.ORDER_SENT;
          LOG.info(event, "order", orderId, "answer", response.detail());
          submitResult(
              () ->
                  orderDispatch
                      .handle(
                          new OrderDispatchPolicy.CallEnded(
                              orderId, outcomeOf(response), response.boughtServers()),
                          clock.nowNanos())
                      .forEach(this::perform));
        });
  }

  /** An order whose call fails unexpectedly is sent again, as after a lost response. */
  private static OrderResponse sendOrFail(OrderCall call) {
    try {
      return call.send();
    } catch (RuntimeException e) {
      LOG.warn(OrdersEvent.CALL_FAILED, e);
      return new OrderResponse(OrderResponse.Kind.UNKNOWN, String.valueOf(e));
    }
  }

  private void reportUsage(UsageWindow window, long fencingNumber) {
    callExecutor.execute(
        () -> {
          boolean accepted = false;
          boolean isOwnNumber =
              authority
                  .valid(clock.nowNanos())
                  .filter(own -> own.fencingNumber() == fencingNumber)
                  .isPresent();
          if (isOwnNumber) {
            OrderResponse response =
                sendOrFail(() -> clients.platformUsage().report(window, fencingNumber));
            accepted = response.kind() == OrderResponse.Kind.ACCEPTED;
            LOG.info(
                OrdersEvent.WINDOW_SENT, "window", window.getWindow(), "answer", response.detail());
          }
          boolean confirmed = accepted;
          submitResult(
              () ->
                  usageReporter
                      .handle(
                          new UsageReporter.SendEnded(window.getWindow(), confirmed),
                          clock.nowNanos())
                      .forEach(this::perform));
        });
  }

  private void observeFleet(long nowNanos) {
    if (observationRunning || nowNanos - nextObservationNanos < 0) {
      return;
    }
    observationRunning = true;
    nextObservationNanos = nowNanos + OBSERVATION_INTERVAL_NANOS;
    callExecutor.execute(
        () -> {
          try {
            List<BackendServerRecord> servers = clients.platformFleet().servers();
            Set<String> removedInstances =
                clients.entryInstances().terminatedInstances().stream()
                    .map(InstanceId::value)
                    .collect(Collectors.toSet());
            submitResult(() -> onFleetObserved(servers, removedInstances));
          } catch (RuntimeException e) {
            LOG.warn(OrdersEvent.FLEET_UNREADABLE, "reason", String.valueOf(e));
            submitResult(() -> observationRunning = false);
          }
        });
  }

  private void onFleetObserved(List<BackendServerRecord> servers, Set<String> removedInstances) {
    observationRunning = false;
    if (!authority.holdsLease(clock.nowNanos())) {
      return;
    }
    Optional<ObserveFleet> difference =
        FleetObserver.difference(servers, control.view(), authority.term());
    difference.ifPresent(change -> proposer.propose(OrderCommands.of(change)));
    fleetMatchesPlatform = difference.isEmpty();
    control.retireRemovedInstances(removedInstances);
  }

  /**
   * Passes a result to the duty. Spins while the ring buffer is full: the duty drains it
   * constantly.
   */
  private void submitResult(Runnable result) {
    while (!duty.offer(result) && !callExecutor.isShutdown()) {
      Thread.onSpinWait();
    }
  }

  private static CallOutcome outcomeOf(OrderResponse response) {
    return switch (response.kind()) {
      case ACCEPTED -> CallOutcome.DONE;
      case REFUSED -> CallOutcome.REFUSED;
      // A stale fencing number means that another process has the authority and sends the order.
      case STALE, BUSY, NOT_SENT, UNKNOWN -> CallOutcome.RETRY_LATER;
    };
  }

  /** Sends an order once; blocks until the receiver responds or the call fails. */
  @FunctionalInterface
  private interface OrderCall {
    OrderResponse send();
  }
}
