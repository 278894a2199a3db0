package org.teaseltrestle.policy.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.PolicyConfiguration.Roles;
import org.teaseltrestle.policy.fleet.RoleController.Demand;
import org.teaseltrestle.policy.fleet.RoleController.Engine;
import org.teaseltrestle.policy.fleet.RoleController.RoleChange;
import org.teaseltrestle.policy.fleet.RoleController.Settings;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Tests of the role controller with eight simulated engines whose role changes take eight seconds.
 */
public final class RoleControllerTest {

  private static final long SECOND = 1_000_000_000L;
  private static final int ENGINES = 8;
  private static final PoolId POOL = new PoolId("pren-models");

  private static final class Pool {
    final RoleController controller;
    final Map<BackendServerId, EngineRole> roles = new HashMap<>();
    final Map<BackendServerId, Long> readyAt = new HashMap<>();
    final Map<BackendServerId, EngineRole> ordered = new HashMap<>();
    final Map<BackendServerId, Integer> changes = new HashMap<>();
    int running = 10;
    int maximumChanging;
    long now;

    Pool(Roles mode) {
      controller = new RoleController(mode, Settings.DEFAULT);
      for (int i = 0; i < ENGINES; i++) {
        EngineRole role = i < 3 ? EngineRole.PREFILL : EngineRole.DECODE;
        roles.put(new BackendServerId("e" + i), i == 7 ? EngineRole.MIXED : role);
      }
    }

    /** Simulates one second with this much prefill and decode work, in numbers of engines. */
    void step(double prefill, double decode) {
      now += SECOND;
      List<Engine> engines = new ArrayList<>();
      roles.replaceAll(
          (id, role) ->
              now >= readyAt.getOrDefault(id, 0L) ? ordered.getOrDefault(id, role) : role);
      roles.forEach((id, role) -> engines.add(new Engine(id, role, running, true)));
      Demand demand = new Demand(POOL, prefill * 8_000, decode * 2_000, 0, 8_000, 2_000);
      for (RoleChange change : controller.decide(demand, engines, now)) {
        ordered.put(change.engine(), change.role());
        roles.put(change.engine(), EngineRole.CHANGING);
        readyAt.put(change.engine(), now + 8 * SECOND);
        changes.merge(change.engine(), 1, Integer::sum);
      }
      maximumChanging = Math.max(maximumChanging, count(EngineRole.CHANGING));
    }

    int count(EngineRole role) {
      return (int) roles.values().stream().filter(role::equals).count();
    }

    int totalChanges() {
      return changes.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /** Guards against roles that do not follow a load shift, or change more than once in it. */
  @Test
  public void followsLoadShiftsWithOneChangePerEngine() {
    Pool pool = new Pool(Roles.ADAPTIVE);
    Random random = new Random(1);
    for (int shift = 1; shift <= 4; shift++) {
      boolean prefillHeavy = shift % 2 == 1;
      pool.changes.clear();
      for (int second = 0; second < 240; second++) {
        double noise = 0.9 + 0.2 * random.nextDouble();
        double heavy = 5.0 * noise;
        double light = 2.0 / noise;
        pool.step(prefillHeavy ? heavy : light, prefillHeavy ? light : heavy);
      }
      String state = "load shift " + shift + " roles " + pool.roles + " changes " + pool.changes;
      Reporter.log("load shift " + shift + ": changes " + pool.totalChanges(), true);
      EngineRole needed = prefillHeavy ? EngineRole.PREFILL : EngineRole.DECODE;
      assertTrue(pool.count(needed) + pool.count(EngineRole.MIXED) >= 5, state);
      assertTrue(pool.changes.values().stream().allMatch(count -> count <= 1), state);
      assertEquals(pool.maximumChanging, 1);
    }
  }

  /** Guards against role changes caused by short fluctuations. */
  @Test
  public void rolesStayUnderNoise() {
    Pool pool = new Pool(Roles.ADAPTIVE);
    Random random = new Random(2);
    for (int second = 0; second < 600; second++) {
      pool.step(2.5 + random.nextDouble(), 3.5 + random.nextDouble());
    }
    assertTrue(pool.totalChanges() <= 1, "changes " + pool.changes);
  }

  /** Guards against role changes that leave too few engines for the running requests. */
  @Test
  public void keepsEnginesThatRunningRequestsNeed() {
    Pool pool = new Pool(Roles.ADAPTIVE);
    pool.running = 60;
    for (int second = 0; second < 120; second++) {
      pool.step(5, 2);
    }
    assertEquals(pool.totalChanges(), 0);
  }

  /** Guards against role changes in the static baseline. */
  @Test
  public void staticRolesStay() {
    Pool pool = new Pool(Roles.STATIC);
    for (int second = 0; second < 120; second++) {
      pool.step(6, 1);
    }
    assertEquals(pool.totalChanges(), 0);
  }
}
