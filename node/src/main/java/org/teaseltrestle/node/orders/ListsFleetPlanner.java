package org.teaseltrestle.node.orders;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.leader.OrderDispatchPolicy;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.lists.ModelEntry;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.fleet.RoleController;
import org.teaseltrestle.policy.fleet.SpendingController;
import org.teaseltrestle.policy.fleet.SpendingController.BilledServer;
import org.teaseltrestle.policy.fleet.SpendingController.OutstandingOrder;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.PoolDemand;

/**
 * Decides on the leader about the roles and numbers of the engines of the operators' lists, and
 * places orders for the changes. After proposing commands it waits for a newer control state, so
 * that no change is proposed twice.
 */
public final class ListsFleetPlanner implements FleetPlanner {

  private static final EventLog LOG = EventLog.of(ListsFleetPlanner.class);
  private static final long DECISION_INTERVAL_NANOS = 1_000_000_000L;

  private final RoleController roles;
  private final SpendingController spending;
  private final EngineRates rates;
  private final Supplier<List<PoolDemand>> demand;
  private long nextDecisionNanos;
  private long decidedAtIndex = -1;

  /**
   * Creates the planner.
   *
   * @param demand demand by pool over all nodes
   * @param nowNanos current monotonic time
   */
  public ListsFleetPlanner(
      RoleController roles,
      SpendingController spending,
      EngineRates rates,
      Supplier<List<PoolDemand>> demand,
      long nowNanos) {
    this.roles = roles;
    this.spending = spending;
    this.rates = rates;
    this.demand = demand;
    this.nextDecisionNanos = nowNanos;
  }

  @Override
  public List<Command.Builder> decide(
      ControlView view, OrderDispatchPolicy orderDispatch, long nowNanos) {
    // Decides only on a state newer than that of the last decision, which has its orders.
    if (nowNanos - nextDecisionNanos < 0 || view.appliedIndex() <= decidedAtIndex) {
      return List.of();
    }
    nextDecisionNanos = nowNanos + DECISION_INTERVAL_NANOS;
    Map<PoolId, ModelEntry> pools = new HashMap<>();
    for (ModelEntry model : view.lists().models().values()) {
      pools.putIfAbsent(model.pool(), model);
    }
    roles.retain(pools.keySet());
    spending.retain(pools.keySet());
    Map<String, PoolDemand> demandByPool =
        demand.get().stream().collect(Collectors.toMap(PoolDemand::getPool, each -> each));
    List<Command.Builder> commands = new ArrayList<>();
    pools.forEach(
        (pool, model) -> {
          PoolDemand poolDemand =
              demandByPool.getOrDefault(
                  pool.value(), PoolDemand.newBuilder().setPool(pool.value()).build());
          commands.addAll(roleChanges(poolDemand, view, orderDispatch, nowNanos));
          commands.addAll(purchasesAndReleases(poolDemand, model, view, nowNanos));
        });
    if (!commands.isEmpty()) {
      decidedAtIndex = view.appliedIndex();
    }
    return commands;
  }

  private List<Command.Builder> roleChanges(
      PoolDemand poolDemand, ControlView view, OrderDispatchPolicy orderDispatch, long nowNanos) {
    Map<String, BackendServerRecord> engines = new HashMap<>();
    Set<String> withOpenOrder = new HashSet<>();
    view.openEngineOrders().forEach(order -> withOpenOrder.add(order.getBackendServer()));
    Set<String> withPlannedChange = new HashSet<>();
    view.plannedChanges().forEach(change -> withPlannedChange.add(change.getBackendServer()));
    List<RoleController.Engine> candidates = new ArrayList<>();
    for (BackendServerRecord server : enginesOf(view, poolDemand.getPool())) {
      engines.put(server.getId(), server);
      candidates.add(
          new RoleController.Engine(
              new BackendServerId(server.getId()),
              withOpenOrder.contains(server.getId()) ? EngineRole.CHANGING : roleOf(server),
              0,
              server.getState().equals("live") && !withPlannedChange.contains(server.getId())));
    }
    RoleController.Demand roleDemand =
        new RoleController.Demand(
            new PoolId(poolDemand.getPool()),
            poolDemand.getPrefillTokensPerSecond(),
            poolDemand.getDecodeTokensPerSecond(),
            0,
            rates.prefillTokensPerSecond(),
            rates.decodeTokensPerSecond());
    List<Command.Builder> commands = new ArrayList<>();
    for (RoleController.RoleChange change : roles.decide(roleDemand, candidates, nowNanos)) {
      LOG.info(OrdersEvent.ROLE_CHANGE_DECIDED, "engine", change.engine(), "role", change.role());
      BackendServerRecord engine = engines.get(change.engine().value());
      if (engine != null) {
        commands.add(placeRoleOrder(engine, change.role(), view, orderDispatch));
      }
    }
    return commands;
  }

  static Command.Builder placeRoleOrder(
      BackendServerRecord engine,
      EngineRole role,
      ControlView view,
      OrderDispatchPolicy orderDispatch) {
    EngineOrder.Builder order =
        EngineOrder.newBuilder()
            .setOrderId("role/" + engine.getId() + "/" + view.appliedIndex())
            .setBackendServer(engine.getId())
            .setKind("set_role")
            .setRole(role.name().toLowerCase(Locale.ROOT));
    orderDispatch
        .senderFor(engine, view)
        .ifPresent(
            owner -> order.setOwnerInstance(owner.getInstance()).setOwnerBoot(owner.getBoot()));
    return OrderCommands.place(order.build(), view.authority().getTerm());
  }

  private List<Command.Builder> purchasesAndReleases(
      PoolDemand poolDemand, ModelEntry model, ControlView view, long nowNanos) {
    double busyEngines =
        poolDemand.getPrefillTokensPerSecond() / rates.prefillTokensPerSecond()
            + poolDemand.getDecodeTokensPerSecond() / rates.decodeTokensPerSecond();
    double tokens = poolDemand.getPrefillTokensPerSecond() + poolDemand.getDecodeTokensPerSecond();
    List<BilledServer> servers = new ArrayList<>();
    Set<FailureDomain> domains = new HashSet<>();
    view.instances().forEach(each -> domains.add(new FailureDomain(each.getFailureDomain())));
    enginesOf(view, poolDemand.getPool())
        .forEach(server -> servers.add(new BilledServer(toBackendServer(server), 0)));
    SpendingController.Demand spendingDemand =
        new SpendingController.Demand(
            new PoolId(poolDemand.getPool()),
            busyEngines,
            tokens > 0 ? Math.min(1, poolDemand.getCheapTokensPerSecond() / tokens) : 0,
            model.minimumServers(),
            model.maximumServers(),
            rates.provisioningTime().toSeconds(),
            domains);
    List<Command.Builder> commands = new ArrayList<>();
    int number = 0;
    for (SpendingController.Decision decision :
        spending.decide(
            spendingDemand, servers, outstandingOrders(view, poolDemand.getPool()), nowNanos)) {
      LOG.info(OrdersEvent.SPENDING_DECIDED, "pool", poolDemand.getPool(), "decision", decision);
      String id = "spending/" + poolDemand.getPool() + "/" + view.appliedIndex() + "/" + number++;
      commands.add(
          Command.newBuilder()
              .setPlacePlatformOrder(
                  PlacePlatformOrder.newBuilder()
                      .setOrder(platformOrder(id, decision))
                      .setAuthorityTerm(view.authority().getTerm())));
    }
    return commands;
  }

  private static PlatformOrder platformOrder(String id, SpendingController.Decision decision) {
    PlatformOrder.Builder order = PlatformOrder.newBuilder().setOrderId(id);
    if (decision instanceof SpendingController.Decision.Purchase purchase) {
      order
          .setPool(purchase.pool().value())
          .setFailureDomain(purchase.failureDomain().value())
          .setCapacity(purchase.capacity().name().toLowerCase(Locale.ROOT))
          .setCount(purchase.count());
    } else if (decision instanceof SpendingController.Decision.Release release) {
      order.setRelease(release.server().value());
    }
    return order.build();
  }

  private static List<OutstandingOrder> outstandingOrders(ControlView view, String pool) {
    return view.openPlatformOrders().stream()
        .filter(order -> order.getPool().equals(pool) && order.getCount() > 0)
        .map(
            order ->
                new OutstandingOrder(
                    new FailureDomain(order.getFailureDomain()),
                    capacityOf(order.getCapacity()),
                    order.getCount()))
        .toList();
  }

  private static Collection<BackendServerRecord> enginesOf(ControlView view, String pool) {
    return view.backendServers().stream()
        .filter(server -> server.getPool().equals(pool) && server.getKind().equals("engine"))
        .toList();
  }

  private static BackendServer toBackendServer(BackendServerRecord server) {
    return new BackendServer(
        new BackendServerId(server.getId()),
        new PoolId(server.getPool()),
        new FailureDomain(server.getFailureDomain()),
        server.getAddress(),
        server.getModelsList().stream().map(ItemName::new).collect(Collectors.toSet()),
        capacityOf(server.getCapacity()),
        server.getState().equals("live") ? BackendServer.State.LIVE : BackendServer.State.LEAVING);
  }

  private static Capacity capacityOf(String text) {
    return text.equals("cheap") ? Capacity.CHEAP : Capacity.REGULAR;
  }

  private static EngineRole roleOf(BackendServerRecord server) {
    return switch (server.getRole()) {
      case "prefill" -> EngineRole.PREFILL;
      case "decode" -> EngineRole.DECODE;
      default -> EngineRole.MIXED;
    };
  }
}
