package org.teaseltrestle.policy.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.EngineRole;
import org.testng.annotations.Test;

/** Tests of what is ordered for the engines of a serving configuration. */
public final class FleetPlannersTest {

  private static final long SECOND = 1_000_000_000L;
  private static final FailureDomain DOMAIN = new FailureDomain("a");

  /** Roles. */
  public static final class Stages {

    private static List<StagePlanner.Engine> engines(int count) {
      List<StagePlanner.Engine> engines = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        engines.add(
            new StagePlanner.Engine(
                new BackendServerId("e" + i),
                new FailureDomain("domain-" + i % 4),
                EngineRole.DECODE));
      }
      return engines;
    }

    /** Guards against a first minute in which most engines do what the mix does not need. */
    @Test
    public void allRolesAreSetBeforeTraffic() {
      StagePlanner planner = new StagePlanner();
      List<StagePlanner.Change> changes =
          planner.decide(new StagePlanner.Demand(0, 0), engines(16), 0);
      assertEquals(changes.size(), 10);
      Map<String, Long> byDomain =
          changes.stream()
              .collect(
                  Collectors.groupingBy(
                      change -> "" + Integer.parseInt(change.engine().value().substring(1)) % 4,
                      Collectors.counting()));
      assertTrue(byDomain.values().stream().allMatch(count -> count <= 3), "" + byDomain);
      // Until the list shows them, they are not ordered again.
      assertEquals(planner.decide(new StagePlanner.Demand(0, 0), engines(16), SECOND), List.of());
    }

    /** Guards against several engines away at once, and against a change for a short swing. */
    @Test
    public void underTrafficOneEngineChangesAfterSomeTime() {
      StagePlanner planner = new StagePlanner();
      StagePlanner.Demand prompts = new StagePlanner.Demand(6, 1);
      assertEquals(planner.decide(prompts, engines(8), 0), List.of());
      assertEquals(planner.decide(new StagePlanner.Demand(0.1, 4), engines(8), SECOND), List.of());
      assertEquals(planner.decide(prompts, engines(8), 2 * SECOND), List.of());
      assertEquals(planner.decide(prompts, engines(8), 11 * SECOND).size(), 1);
    }
  }

  /** Numbers. */
  public static final class Numbers {

    private static final CheapFleetPlanner.Range RANGE = new CheapFleetPlanner.Range(1, 4, 0.18);

    private static Map<Capacity, Integer> decide(
        CheapFleetPlanner planner,
        int regular,
        int cheap,
        CheapFleetPlanner.Traffic traffic,
        long nowNanos) {
      Map<Capacity, Integer> wanted = new HashMap<>();
      planner
          .decide(
              RANGE,
              Map.of(DOMAIN, new CheapFleetPlanner.Present(regular, cheap)),
              traffic,
              nowNanos)
          .forEach(each -> wanted.put(each.capacity(), each.count()));
      return wanted;
    }

    /** Guards against regular engines given back before cheap ones serve in their place. */
    @Test
    public void underTrafficCheapEnginesComeFirst() {
      CheapFleetPlanner planner = new CheapFleetPlanner();
      CheapFleetPlanner.Traffic some = CheapFleetPlanner.Traffic.SOME;
      assertEquals(decide(planner, 2, 0, some, 0), Map.of(Capacity.CHEAP, 2));
      assertEquals(decide(planner, 2, 0, some, SECOND), Map.of());
      assertEquals(
          decide(planner, 2, 2, some, 6 * SECOND), Map.of(Capacity.REGULAR, 0, Capacity.CHEAP, 4));
    }

    /** Guards against a domain without engines while cheap ones cannot be had. */
    @Test
    public void regularEngineStandsInForReclaimedOnes() {
      CheapFleetPlanner planner = new CheapFleetPlanner();
      CheapFleetPlanner.Traffic some = CheapFleetPlanner.Traffic.SOME;
      decide(planner, 0, 0, some, 0);
      assertEquals(
          decide(planner, 0, 0, some, 8 * SECOND).get(Capacity.REGULAR), Integer.valueOf(1));
    }
  }
}
