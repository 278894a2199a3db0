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

/** Tests of the planners that order engine roles and engines for a serving configuration. */
public final class FleetPlannersTest {

  private static final long SECOND = 1_000_000_000L;
  private static final FailureDomain DOMAIN = new FailureDomain("a");

  /** Tests of the division into prefill and decode engines. */
  public static final class PrefillDecodeSplit {

    private static List<PrefillDecodePlanner.Engine> engines(int count) {
      List<PrefillDecodePlanner.Engine> engines = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        engines.add(
            new PrefillDecodePlanner.Engine(
                new BackendServerId("e" + i),
                new FailureDomain("domain-" + i % 4),
                EngineRole.DECODE));
      }
      return engines;
    }

    /**
     * Guards against a first minute in which most engines have a role that the workload does not
     * need.
     */
    @Test
    public void allRolesAreSetBeforeTraffic() {
      PrefillDecodePlanner planner = new PrefillDecodePlanner();
      List<PrefillDecodePlanner.RoleAssignment> assignments =
          planner.decide(new PrefillDecodePlanner.Demand(0, 0), engines(16), 0);
      assertEquals(assignments.size(), 10);
      Map<String, Long> byDomain =
          assignments.stream()
              .collect(
                  Collectors.groupingBy(
                      assignment ->
                          "" + Integer.parseInt(assignment.engine().value().substring(1)) % 4,
                      Collectors.counting()));
      assertTrue(byDomain.values().stream().allMatch(count -> count <= 3), "" + byDomain);
      // Pending changes that the list does not show yet are not ordered again.
      assertEquals(
          planner.decide(new PrefillDecodePlanner.Demand(0, 0), engines(16), SECOND), List.of());
    }

    /**
     * Guards against several unavailable engines at once, and against a change for a short
     * fluctuation.
     */
    @Test
    public void withTrafficOneEngineChangesAfterDelay() {
      PrefillDecodePlanner planner = new PrefillDecodePlanner();
      PrefillDecodePlanner.Demand prefillHeavy = new PrefillDecodePlanner.Demand(6, 1);
      assertEquals(planner.decide(prefillHeavy, engines(8), 0), List.of());
      assertEquals(
          planner.decide(new PrefillDecodePlanner.Demand(0.1, 4), engines(8), SECOND), List.of());
      assertEquals(planner.decide(prefillHeavy, engines(8), 2 * SECOND), List.of());
      assertEquals(planner.decide(prefillHeavy, engines(8), 11 * SECOND).size(), 1);
    }
  }

  /** Tests of the number of regular and preemptible engines. */
  public static final class EngineNumbers {

    private static final CheapFleetPlanner.EngineBounds RANGE =
        new CheapFleetPlanner.EngineBounds(1, 4, 0.18);

    private static Map<Capacity, Integer> decide(
        CheapFleetPlanner planner,
        int regular,
        int cheap,
        CheapFleetPlanner.Traffic traffic,
        long nowNanos) {
      Map<Capacity, Integer> ordered = new HashMap<>();
      planner
          .decide(
              RANGE,
              Map.of(DOMAIN, new CheapFleetPlanner.EngineCounts(regular, cheap)),
              traffic,
              nowNanos)
          .forEach(each -> ordered.put(each.capacity(), each.count()));
      return ordered;
    }

    /** Guards against release of regular engines before preemptible ones replace them. */
    @Test
    public void withTrafficPreemptibleEnginesArriveBeforeRelease() {
      CheapFleetPlanner planner = new CheapFleetPlanner();
      CheapFleetPlanner.Traffic some = CheapFleetPlanner.Traffic.SOME;
      assertEquals(decide(planner, 2, 0, some, 0), Map.of(Capacity.CHEAP, 2));
      assertEquals(decide(planner, 2, 0, some, SECOND), Map.of());
      assertEquals(
          decide(planner, 2, 2, some, 6 * SECOND), Map.of(Capacity.REGULAR, 0, Capacity.CHEAP, 4));
    }

    /** Guards against a domain without engines while preemptible ones are unavailable. */
    @Test
    public void regularEngineReplacesUnavailablePreemptibleOnes() {
      CheapFleetPlanner planner = new CheapFleetPlanner();
      CheapFleetPlanner.Traffic some = CheapFleetPlanner.Traffic.SOME;
      decide(planner, 0, 0, some, 0);
      assertEquals(
          decide(planner, 0, 0, some, 8 * SECOND).get(Capacity.REGULAR), Integer.valueOf(1));
    }
  }
}
