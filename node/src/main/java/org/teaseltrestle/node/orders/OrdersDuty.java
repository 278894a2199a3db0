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
import org.teaseltrestle.control.leader.OrderBookPolicy;
import org.teaseltrestle.control.leader.OrderBookPolicy.CallOutcome;
import org.teaseltrestle.control.leader.UsageReporter;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.OrderAnswer;
import org.teaseltrestle.node.replica.ControlPlane;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Acts outward: while this process holds the authority it observes the fleet, sends committed
 * orders and reports usage windows; as the owner of an engine it sends that engine's orders. The
 * right to act is asked again on the calling thread directly before each send.
 */
public final class OrdersDuty implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(OrdersDuty.class);
  private static final int RING_CAPACITY = 256;
  private static final int CALL_THREADS = 4;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long OBSERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final InstanceId instance;
  private final long boot;
  private final ControlPlane control;
  private final OutwardPorts ports;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final PlaneAuthority authority;
  private final OrderBookPolicy orderBook;
  private final UsageReporter usageReporter;
  private final FleetDecisions fleetControl;
  private final CommandProposer proposer;
  private final DutyThread<Runnable> duty;
  private final ExecutorService calls;
  private boolean observing;
  // Whether this authority has seen the committed fleet agree with the platform's list. Spending
  // decided before that bought servers that the platform already had.
  private boolean fleetCurrent;
  private long nextObservationNanos;

  /**
   * Creates the duty; {@link #start()} starts it.
   *
   * @param usageWindowSeconds length of a usage window in seconds
   */
  public OrdersDuty(
      InstanceId instance,
      long boot,
      long usageWindowSeconds,
      ControlPlane control,
      OutwardPorts ports,
      FleetDecisions fleetControl,
      MonotonicClock clock,
      WallClock wallClock) {
    this.instance = instance;
    this.boot = boot;
    this.control = control;
    this.ports = ports;
    this.clock = clock;
    this.wallClock = wallClock;
    this.authority = new PlaneAuthority(control);
    long now = clock.nowNanos();
    this.orderBook =
        new OrderBookPolicy(instance.value(), boot, authority, LeaseTimings.DEFAULT, now);
    this.usageReporter = new UsageReporter(authority, usageWindowSeconds, now);
    this.fleetControl = fleetControl;
    this.proposer = new CommandProposer(control, wallClock, instance, boot);
    this.nextObservationNanos = now;
    this.duty =
        new DutyThread<>("orders", RING_CAPACITY, Runnable::run, this::tick, TICK_NANOS, clock);
    this.calls =
        Executors.newFixedThreadPool(
            CALL_THREADS,
            task -> {
              Thread thread = new Thread(task, "order-calls");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Starts the duty. */
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
    calls.shutdownNow();
  }

  private void tick(long nowNanos) {
    if (!control.isReady()) {
      return;
    }
    ControlView view = control.view();
    orderBook.handle(new OrderBookPolicy.Tick(view), nowNanos).forEach(this::act);
    usageReporter
        .handle(new UsageReporter.Tick(view, wallClock.nowMillis()), nowNanos)
        .forEach(this::act);
    if (authority.leads(nowNanos) && view.authority().getTerm() == authority.term()) {
      // Reading needs no authority: it has no effect outside.
      observe(nowNanos);
      if (fleetCurrent && authority.mayAct(nowNanos)) {
        fleetControl.decide(view, orderBook, nowNanos).forEach(proposer::propose);
      }
    } else {
      fleetCurrent = false;
    }
  }

  private void act(OrderBookPolicy.Action action) {
    if (action instanceof OrderBookPolicy.SendToEngine send) {
      sendToEngine(send.order());
    } else if (action instanceof OrderBookPolicy.SendToPlatform send) {
      sendToPlatform(send.order());
    } else {
      proposer.propose(OrderCommands.of(action, instance, boot));
    }
  }

  private void act(UsageReporter.Action action) {
    if (action instanceof UsageReporter.Send send) {
      report(send.window(), send.fencingNumber());
    } else {
      proposer.propose(OrderCommands.of(action));
    }
  }

  private void sendToEngine(EngineOrder order) {
    call(
        order.getOrderId(),
        () -> {
          if (!maySend(order)) {
            return new OrderAnswer(OrderAnswer.Kind.NOT_SENT, "authority ended");
          }
          String address =
              control.view().backendServers().stream()
                  .filter(server -> server.getId().equals(order.getBackendServer()))
                  .map(BackendServerRecord::getAddress)
                  .findFirst()
                  .orElse("");
          return address.isEmpty()
              ? new OrderAnswer(OrderAnswer.Kind.NOT_SENT, "engine is not listed")
              : ports.engineOrders().send(address, order);
        });
  }

  private void sendToPlatform(PlatformOrder order) {
    call(
        order.getOrderId(),
        () ->
            authority.mayAct(clock.nowNanos())
                ? ports.platformOrders().send(order, control.view().authority().getFencingNumber())
                : new OrderAnswer(OrderAnswer.Kind.NOT_SENT, "authority ended"));
  }

  private boolean maySend(EngineOrder order) {
    if (order.getOwnerInstance().isEmpty()) {
      return authority.mayAct(clock.nowNanos());
    }
    return control
        .view()
        .engineOwner(order.getBackendServer())
        .filter(owner -> owner.getInstance().equals(instance.value()) && owner.getBoot() == boot)
        .isPresent();
  }

  private void call(String orderId, OrderCall call) {
    calls.execute(
        () -> {
          OrderAnswer answer = call.send();
          OrdersEvent event =
              answer.kind() == OrderAnswer.Kind.NOT_SENT
                  ? OrdersEvent.ORDER_NOT_SENT
                  : OrdersEvent.ORDER_SENT;
          LOG.info(event, "order", orderId, "answer", answer.detail());
          deliver(
              () ->
                  orderBook
                      .handle(
                          new OrderBookPolicy.CallEnded(
                              orderId, outcomeOf(answer), answer.boughtServers()),
                          clock.nowNanos())
                      .forEach(this::act));
        });
  }

  private void report(UsageWindow window, long fencingNumber) {
    calls.execute(
        () -> {
          boolean accepted = false;
          if (authority.mayAct(clock.nowNanos())) {
            OrderAnswer answer = ports.platformUsage().report(window, fencingNumber);
            accepted = answer.kind() == OrderAnswer.Kind.ACCEPTED;
            LOG.info(
                OrdersEvent.WINDOW_SENT, "window", window.getWindow(), "answer", answer.detail());
          }
          boolean confirmed = accepted;
          deliver(
              () ->
                  usageReporter
                      .handle(
                          new UsageReporter.SendEnded(window.getWindow(), confirmed),
                          clock.nowNanos())
                      .forEach(this::act));
        });
  }

  private void observe(long nowNanos) {
    if (observing || nowNanos - nextObservationNanos < 0) {
      return;
    }
    observing = true;
    nextObservationNanos = nowNanos + OBSERVE_NANOS;
    calls.execute(
        () -> {
          try {
            List<BackendServerRecord> servers = ports.platformFleet().servers();
            Set<String> gone =
                ports.entryInstances().gone().stream()
                    .map(InstanceId::value)
                    .collect(Collectors.toSet());
            deliver(() -> observed(servers, gone));
          } catch (TrestleException e) {
            LOG.warn(OrdersEvent.FLEET_UNREADABLE, "reason", e.getMessage());
            deliver(() -> observing = false);
          }
        });
  }

  private void observed(List<BackendServerRecord> servers, Set<String> gone) {
    observing = false;
    if (!authority.leads(clock.nowNanos())) {
      return;
    }
    Optional<ObserveFleet> difference =
        FleetObserver.difference(servers, control.view(), authority.term());
    difference.ifPresent(change -> proposer.propose(OrderCommands.of(change)));
    fleetCurrent = difference.isEmpty();
    control.retireRemovedInstances(gone);
  }

  /** Hands a result to the duty; the ring is drained continuously, so a full one clears soon. */
  private void deliver(Runnable result) {
    while (!duty.offer(result) && !calls.isShutdown()) {
      Thread.onSpinWait();
    }
  }

  private static CallOutcome outcomeOf(OrderAnswer answer) {
    return switch (answer.kind()) {
      case ACCEPTED -> CallOutcome.DONE;
      case REFUSED -> CallOutcome.REFUSED;
      // A stale number means that another authority exists; the order is its business now.
      case STALE, BUSY, NOT_SENT, UNKNOWN -> CallOutcome.AGAIN;
    };
  }

  /** One send of an order. */
  @FunctionalInterface
  private interface OrderCall {
    OrderAnswer send();
  }
}
