package org.teaseltrestle.policy.limits;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.policy.limits.ShareAllocator.Grant;
import org.teaseltrestle.policy.limits.ShareAllocator.Renewal;
import org.teaseltrestle.policy.limits.ShareAllocator.Settings;
import org.testng.annotations.Test;

/** Guards against limits exceeded because instances together hold more than the whole. */
public final class ShareAllocatorTest {

  private static final ClientAccount NORTH = new ClientAccount("north");
  private static final long SECOND = 1_000_000_000L;
  private static final int INSTANCES = 9;

  private final List<Node> nodes = new ArrayList<>();
  private ShareAllocator allocator = new ShareAllocator(Settings.DEFAULT, 0);

  private static final class Node {
    final InstanceId id;
    double demand = 100;
    double share = 1.0 / INSTANCES;
    long confirmed;
    long expiresAt = Long.MAX_VALUE;
    boolean cut;

    Node(int number) {
      id = new InstanceId("entry-" + number);
    }

    double inForce(long now) {
      return now < expiresAt ? share : 1.0 / INSTANCES;
    }
  }

  private void start() {
    nodes.clear();
    allocator = new ShareAllocator(Settings.DEFAULT, 0);
    for (int i = 0; i < INSTANCES; i++) {
      Node node = new Node(i);
      nodes.add(node);
      allocator.renew(new Renewal(node.id, 1, Map.of(), 0), 0);
    }
  }

  private void renew(Node node, long now, boolean answerLost) {
    if (node.cut) {
      return;
    }
    Grant grant =
        allocator.renew(new Renewal(node.id, 1, Map.of(NORTH, node.demand), node.confirmed), now);
    if (!answerLost) {
      node.share = grant.shares().getOrDefault(NORTH, grant.defaultShare());
      node.confirmed = grant.number();
      node.expiresAt = now + grant.lifetimeNanos();
    }
  }

  private double inForce(long now) {
    return nodes.stream().mapToDouble(node -> node.inForce(now)).sum();
  }

  /** One instance at a time is cut off, answers are lost, demand moves: the sum stays below 1. */
  @Test
  public void sumStaysBelowOneWhileOneIsCutOff() {
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      start();
      for (long now = SECOND; now < 120 * SECOND; now += SECOND) {
        if (now % (30 * SECOND) == 0) {
          nodes.forEach(node -> node.cut = false);
          nodes.get(random.nextInt(INSTANCES)).cut = true;
        }
        nodes.get(random.nextInt(INSTANCES)).demand = random.nextInt(1_000);
        for (Node node : nodes) {
          // At most every tenth answer is lost, so that the others shrink before a grant expires.
          renew(node, now, random.nextInt(10) == 0);
          assertTrue(inForce(now) <= 1 + 1e-9, "seed " + seed + " sum " + inForce(now));
        }
      }
    }
  }

  /** Any instances are cut off at any time: the stated error bound holds. */
  @Test
  public void sumStaysBelowErrorBoundWhenManyAreCutOff() {
    double bound = 2 - Settings.DEFAULT.evenPart();
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      start();
      for (long now = SECOND; now < 120 * SECOND; now += SECOND) {
        for (Node node : nodes) {
          if (random.nextInt(15) == 0) {
            node.cut = !node.cut;
            node.demand = random.nextInt(1_000);
          }
          renew(node, now, random.nextInt(5) == 0);
          assertTrue(inForce(now) <= bound, "seed " + seed + " sum " + inForce(now));
        }
      }
    }
  }

  /** Shares follow the demand, so that a limit is of use where its account's requests arrive. */
  @Test
  public void sharesFollowDemand() {
    start();
    nodes.forEach(node -> node.demand = 0);
    nodes.get(3).demand = 500;
    for (long now = SECOND; now < 20 * SECOND; now += SECOND) {
      for (Node node : nodes) {
        renew(node, now, false);
      }
    }
    assertTrue(nodes.get(3).share > 0.7, "share " + nodes.get(3).share);
    assertTrue(nodes.get(0).share > 0.02, "share " + nodes.get(0).share);
  }
}
