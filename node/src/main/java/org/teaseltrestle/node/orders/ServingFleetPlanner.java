package org.teaseltrestle.node.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.leader.OrderDispatchPolicy;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.serving.ScalingRange;
import org.teaseltrestle.model.serving.ServedPool;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.fleet.CheapFleetPlanner;
import org.teaseltrestle.policy.fleet.PrefillDecodePlanner;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.PoolDemand;

/** Decides about roles and numbers of the engines in the pools of the serving configuration. */
public final class ServingFleetPlanner implements FleetPlanner {

  private static final EventLog LOG = EventLog.of(ServingFleetPlanner.class);
  private static final long DECISION_INTERVAL_NANOS = 500_000_000L;

  private final Supplier<@Nullable ServingConfiguration> serving;
  private final Supplier<List<PoolDemand>> demand;
  private final EngineRates rates;
  private final Map<PoolId, Planners> planners = new HashMap<>();
  private long term;
  private long nextDecisionNanos;
  private long nextOrderNumber;

  private record Planners(PrefillDecodePlanner roles, CheapFleetPlanner fleet) {}

  /**
   * Creates the planner.
   *
   * @param serving supplies the serving configuration in effect, null if none is known
   * @param demand demand by pool over all nodes
   * @param rates throughput of one engine
   * @param nowNanos current monotonic time
   */
  public ServingFleetPlanner(
      Supplier<@Nullable ServingConfiguration> serving,
      Supplier<List<PoolDemand>> demand,
      EngineRates rates,
      long nowNanos) {
    this.serving = serving;
    this.demand = demand;
    this.rates = rates;
    this.nextDecisionNanos = nowNanos;
  }

  @Override
  public List<Command.Builder> decide(
      ControlView view, OrderDispatchPolicy orderDispatch, long nowNanos) {
    ServingConfiguration configuration = serving.get();
    if (nowNanos - nextDecisionNanos < 0 || configuration == null) {
      return List.of();
    }
    nextDecisionNanos = nowNanos + DECISION_INTERVAL_NANOS;
    if (term != view.authority().getTerm()) {
      // The fleet shows the results of an earlier term's orders; the planners must not count them.
      term = view.authority().getTerm();
      planners.clear();
    }
    List<Command.Builder> commands = new ArrayList<>();
    for (ServedPool pool : configuration.pools()) {
      if (pool.engine() != null) {
        decide(pool, view, orderDispatch, nowNanos, commands);
      }
    }
    return commands;
  }

  private void decide(
      ServedPool pool,
      ControlView view,
      OrderDispatchPolicy orderDispatch,
      long nowNanos,
      List<Command.Builder> commands) {
    Planners poolPlanners =
        planners.computeIfAbsent(
            pool.pool(), id -> new Planners(new PrefillDecodePlanner(), new CheapFleetPlanner()));
    List<BackendServerRecord> engines =
        view.backendServers().stream()
            .filter(server -> server.getPool().equals(pool.pool().value()))
            .filter(server -> server.getState().equals("live"))
            .toList();
    ScalingRange range = pool.scaling();
    if (range != null) {
      addServerOrders(pool.pool(), range, engines, poolPlanners.fleet(), view, nowNanos, commands);
    }
    addRoleOrders(
        pool.pool(), engines, poolPlanners.roles(), view, orderDispatch, nowNanos, commands);
  }

  private void addServerOrders(
      PoolId pool,
      ScalingRange range,
      List<BackendServerRecord> engines,
      CheapFleetPlanner planner,
      ControlView view,
      long nowNanos,
      List<Command.Builder> commands) {
    Map<FailureDomain, CheapFleetPlanner.EngineCounts> counts = new HashMap<>();
    for (FailureDomain domain : range.regularPriceByDomain().keySet()) {
      counts.put(domain, countServers(domain, engines));
    }
    CheapFleetPlanner.EngineBounds bounds =
        new CheapFleetPlanner.EngineBounds(
            range.minimumServers(), range.maximumServers(), range.preemptiblePriceRatio());
    PrefillDecodePlanner.Demand poolDemand = demandFor(pool);
    CheapFleetPlanner.Traffic traffic =
        poolDemand.prefillEngines() > 0
            ? CheapFleetPlanner.Traffic.SOME
            : CheapFleetPlanner.Traffic.NONE;
    for (CheapFleetPlanner.Wanted target : planner.decide(bounds, counts, traffic, nowNanos)) {
      LOG.info(OrdersEvent.SPENDING_DECIDED, "pool", pool, "decision", target);
      commands.add(placeServerOrder(pool, target, view));
    }
  }

  private static CheapFleetPlanner.EngineCounts countServers(
      FailureDomain domain, List<BackendServerRecord> engines) {
    int regular = 0;
    int cheap = 0;
    for (BackendServerRecord engine : engines) {
      if (engine.getFailureDomain().equals(domain.value())) {
        if (engine.getCapacity().equals("cheap")) {
          cheap++;
        } else {
          regular++;
        }
      }
    }
    return new CheapFleetPlanner.EngineCounts(regular, cheap);
  }

  private Command.Builder placeServerOrder(
      PoolId pool, CheapFleetPlanner.Wanted target, ControlView view) {
    String id = "wanted/" + pool + "/" + view.authority().getTerm() + "/" + nextOrderNumber++;
    return Command.newBuilder()
        .setPlacePlatformOrder(
            PlacePlatformOrder.newBuilder()
                .setOrder(
                    PlatformOrder.newBuilder()
                        .setOrderId(id)
                        .setPool(pool.value())
                        .setFailureDomain(target.domain().value())
                        .setCapacity(target.capacity() == Capacity.CHEAP ? "cheap" : "regular")
                        .setCount(target.count())
                        .setWantedInAll(true))
                .setAuthorityTerm(view.authority().getTerm()));
  }

  private void addRoleOrders(
      PoolId pool,
      List<BackendServerRecord> servers,
      PrefillDecodePlanner planner,
      ControlView view,
      OrderDispatchPolicy orderDispatch,
      long nowNanos,
      List<Command.Builder> commands) {
    Map<BackendServerId, BackendServerRecord> byId = new HashMap<>();
    List<PrefillDecodePlanner.Engine> engines = new ArrayList<>();
    for (BackendServerRecord server : servers) {
      EngineRole role = roleOf(server);
      if (role != null) {
        BackendServerId id = new BackendServerId(server.getId());
        byId.put(id, server);
        engines.add(
            new PrefillDecodePlanner.Engine(
                id, new FailureDomain(server.getFailureDomain()), role));
      }
    }
    for (PrefillDecodePlanner.RoleAssignment assignment :
        planner.decide(demandFor(pool), engines, nowNanos)) {
      BackendServerRecord engine = byId.get(assignment.engine());
      boolean hasOpenOrder =
          view.openEngineOrders().stream()
              .anyMatch(order -> order.getBackendServer().equals(assignment.engine().value()));
      if (engine != null && !hasOpenOrder) {
        LOG.info(
            OrdersEvent.ROLE_CHANGE_DECIDED,
            "engine",
            assignment.engine(),
            "role",
            assignment.role());
        commands.add(
            ListsFleetPlanner.placeRoleOrder(engine, assignment.role(), view, orderDispatch));
      }
    }
  }

  private PrefillDecodePlanner.Demand demandFor(PoolId pool) {
    for (PoolDemand poolDemand : demand.get()) {
      if (poolDemand.getPool().equals(pool.value())) {
        return new PrefillDecodePlanner.Demand(
            poolDemand.getPrefillTokensPerSecond() / rates.prefillTokensPerSecond(),
            poolDemand.getDecodeTokensPerSecond() / rates.decodeTokensPerSecond());
      }
    }
    return new PrefillDecodePlanner.Demand(0, 0);
  }

  private static @Nullable EngineRole roleOf(BackendServerRecord server) {
    return switch (server.getRole()) {
      case "prefill_only" -> EngineRole.PREFILL_ONLY;
      case "decode" -> EngineRole.DECODE;
      default -> null;
    };
  }
}
