package org.teaseltrestle.policy.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.policy.PolicyConfiguration.Spending;
import org.teaseltrestle.policy.fleet.SpendingController.BilledServer;
import org.teaseltrestle.policy.fleet.SpendingController.Decision;
import org.teaseltrestle.policy.fleet.SpendingController.Demand;
import org.teaseltrestle.policy.fleet.SpendingController.OutstandingOrder;
import org.teaseltrestle.policy.fleet.SpendingController.Settings;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Tests of the spending controller with a simulated platform that delivers servers after two
 * minutes.
 */
public final class SpendingControllerTest {

  private static final long SECOND = 1_000_000_000L;
  private static final int ARRIVAL_SECONDS = 120;
  private static final int MINIMUM = 2;
  private static final int MAXIMUM = 12;
  private static final PoolId POOL = new PoolId("pren-models");
  private static final Set<FailureDomain> DOMAINS =
      Set.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));

  private static final class Platform {
    final SpendingController controller;
    final Map<BackendServerId, BackendServer> servers = new HashMap<>();
    final Map<OutstandingOrder, List<Long>> orders = new HashMap<>();
    int purchases;
    int releases;
    int number;
    long now;

    Platform(Spending mode, int regular) {
      controller = new SpendingController(mode, Settings.DEFAULT);
      for (int i = 0; i < regular; i++) {
        deliver(new FailureDomain(List.of("a", "b", "c").get(i % 3)), Capacity.REGULAR);
      }
    }

    void deliver(FailureDomain domain, Capacity capacity) {
      BackendServerId id = new BackendServerId("s" + number++);
      servers.put(
          id,
          new BackendServer(
              id, POOL, domain, "http://127.0.0.1:1", Set.of(), capacity, State.LIVE));
    }

    void step(double demand, double cheapFraction) {
      now += SECOND;
      List<OutstandingOrder> outstanding = new ArrayList<>();
      orders.forEach(
          (order, due) -> {
            while (!due.isEmpty() && due.get(0) <= now) {
              due.remove(0);
              deliver(order.failureDomain(), order.capacity());
            }
            if (!due.isEmpty()) {
              outstanding.add(
                  new OutstandingOrder(order.failureDomain(), order.capacity(), due.size()));
            }
          });
      List<BilledServer> billed = new ArrayList<>();
      servers.values().forEach(server -> billed.add(new BilledServer(server, 1)));
      Demand input =
          new Demand(POOL, demand, cheapFraction, MINIMUM, MAXIMUM, ARRIVAL_SECONDS, DOMAINS);
      controller.decide(input, billed, outstanding, now).forEach(this::apply);
      assertTrue(servers.size() + pendingServers() <= MAXIMUM, "paid " + servers.size());
    }

    private void apply(Decision decision) {
      if (decision instanceof Decision.Purchase purchase) {
        purchases += purchase.count();
        List<Long> due =
            orders.computeIfAbsent(
                new OutstandingOrder(purchase.failureDomain(), purchase.capacity(), 1),
                key -> new ArrayList<>());
        for (int i = 0; i < purchase.count(); i++) {
          due.add(now + ARRIVAL_SECONDS * SECOND);
        }
      } else if (decision instanceof Decision.Release release) {
        releases++;
        servers.remove(release.server());
      }
    }

    int pendingServers() {
      return orders.values().stream().mapToInt(List::size).sum();
    }

    int cheap(FailureDomain domain) {
      return (int)
          servers.values().stream()
              .filter(server -> server.capacity() == Capacity.CHEAP)
              .filter(server -> server.failureDomain().equals(domain))
              .count();
    }

    int largestCheapDomain() {
      return DOMAINS.stream().mapToInt(this::cheap).max().orElse(0);
    }
  }

  /**
   * Guards against servers that arrive after the demand has risen, and against double purchases.
   */
  @Test
  public void ordersAheadOfRampAndOnlyOnce() {
    Platform platform = new Platform(Spending.ADAPTIVE, 4);
    for (int second = 0; second < 600; second++) {
      double demand = Math.min(7, 2 + second * 5 / 600.0);
      platform.step(demand, 0);
      if (second > 180) {
        assertTrue(platform.servers.size() >= demand, "at " + second);
      }
    }
    assertTrue(platform.purchases <= 8, "bought " + platform.purchases);
  }

  /** Guards against preemptible servers whose loss violates the service level. */
  @Test
  public void losingPreemptibleServersOfDomainKeepsServiceLevel() {
    Random random = new Random(3);
    for (int run = 0; run < 20; run++) {
      Platform platform = new Platform(Spending.ADAPTIVE, 8);
      double demand = 1 + 6 * random.nextDouble();
      double cheapFraction = random.nextDouble();
      for (int second = 0; second < 3_000; second++) {
        platform.step(demand, cheapFraction);
        double remaining = platform.servers.size() - platform.largestCheapDomain();
        String state =
            "demand " + demand + " preemptible fraction " + cheapFraction + " at " + second;
        assertTrue(remaining * Settings.DEFAULT.promisedUtilization() >= demand - 1e-6, state);
      }
    }
  }

  /**
   * Guards against costs that stay high after the demand has fallen, and against repeated purchases
   * and releases under constant demand.
   */
  @Test
  public void scalesDownSlowlyAndPrefersPreemptible() {
    Platform platform = new Platform(Spending.ADAPTIVE, 10);
    for (int second = 0; second < 60; second++) {
      platform.step(2, 1);
    }
    assertEquals(platform.releases, 0);
    for (int second = 0; second < 3_000; second++) {
      platform.step(2, 1);
    }
    long cheap = DOMAINS.stream().mapToInt(platform::cheap).sum();
    Reporter.log("servers " + platform.servers.size() + ", preemptible " + cheap, true);
    double cost = platform.servers.size() - cheap * (1 - Settings.DEFAULT.preemptiblePriceRatio());
    assertTrue(cost < 3, "cost " + cost);
    assertTrue(cheap >= 1, "preemptible " + cheap);
    int purchases = platform.purchases;
    for (int second = 0; second < 1_000; second++) {
      platform.step(2, 1);
    }
    assertEquals(platform.purchases, purchases);
  }

  /** Guards against orders in the static baseline. */
  @Test
  public void staticSpendingOrdersNothing() {
    Platform platform = new Platform(Spending.STATIC, 4);
    for (int second = 0; second < 300; second++) {
      platform.step(9, 1);
    }
    assertEquals(platform.purchases + platform.releases, 0);
  }
}
