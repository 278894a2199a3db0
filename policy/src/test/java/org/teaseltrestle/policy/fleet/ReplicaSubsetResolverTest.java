package org.teaseltrestle.policy.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.policy.BackendServer;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Guards against servers that no instance uses, models that an instance cannot reach, and
 * unnecessary changes of subsets.
 */
public final class ReplicaSubsetResolverTest {

  private static final int DOMAINS = 6;
  private static final int MODELS = 18;

  private static List<EntryInstance> instances(int count) {
    List<EntryInstance> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(
          new EntryInstance(new InstanceId("entry-" + i), new FailureDomain("d" + i % DOMAINS)));
    }
    return instances;
  }

  private static List<BackendServer> servers(int count) {
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(
          new BackendServer(
              new BackendServerId("engine-" + i),
              new PoolId("pool"),
              new FailureDomain("d" + i % DOMAINS),
              "http://127.0.0.1:1",
              Set.of(new ItemName("model-" + i / DOMAINS % MODELS)),
              BackendServer.Capacity.REGULAR,
              BackendServer.State.LIVE));
    }
    return servers;
  }

  private static Set<BackendServer> subset(
      EntryInstance self, List<EntryInstance> instances, List<BackendServer> servers) {
    return new HashSet<>(new ReplicaSubsetResolver(self).resolve(instances, servers));
  }

  @Test
  public void smallFleetIsWatchedCompletely() {
    List<EntryInstance> instances = instances(9);
    List<BackendServer> servers = servers(12);
    assertEquals(subset(instances.get(0), instances, servers), new HashSet<>(servers));
  }

  @Test
  public void everyServerIsWatchedAndEveryModelCovered() {
    List<EntryInstance> instances = instances(60);
    List<BackendServer> servers = servers(972);
    Map<BackendServer, Integer> watchers = new HashMap<>();
    for (EntryInstance self : instances) {
      Set<BackendServer> subset = subset(self, instances, servers);
      assertEquals(subset.size(), ReplicaSubsetResolver.DEFAULT_SIZE);
      Set<ItemName> models = new HashSet<>();
      subset.forEach(server -> models.addAll(server.models()));
      assertEquals(models.size(), MODELS, "models of " + self.id());
      long own =
          subset.stream()
              .filter(server -> server.failureDomain().equals(self.failureDomain()))
              .count();
      assertTrue(own >= 12, "own domain " + own);
      subset.forEach(server -> watchers.merge(server, 1, Integer::sum));
    }
    assertEquals(watchers.size(), servers.size());
    assertTrue(Collections.max(watchers.values()) <= 10, "most " + watchers.values());
  }

  @Test
  public void resultIsIndependentOfInputOrderAndChangesAreSmall() {
    List<EntryInstance> instances = instances(60);
    List<BackendServer> servers = servers(972);
    List<BackendServer> shuffled = new ArrayList<>(servers);
    Collections.shuffle(shuffled, new Random(1));
    List<EntryInstance> fewerInstances = instances.subList(0, 59);
    List<BackendServer> fewerServers = servers.subList(0, 971);
    int changedByInstance = 0;
    int changedByServer = 0;
    for (EntryInstance self : fewerInstances) {
      Set<BackendServer> before = subset(self, instances, servers);
      assertEquals(subset(self, instances, shuffled), before);
      changedByInstance += missing(before, subset(self, fewerInstances, servers));
      changedByServer += missing(before, subset(self, instances, fewerServers));
    }
    int entries = 59 * ReplicaSubsetResolver.DEFAULT_SIZE;
    Reporter.log(
        "of "
            + entries
            + " subset entries, one instance less changes "
            + changedByInstance
            + ", one server less "
            + changedByServer,
        true);
    assertTrue(changedByInstance <= 0.05 * entries, "changed " + changedByInstance);
    assertTrue(changedByServer <= 0.02 * entries, "changed " + changedByServer);
  }

  /**
   * Guards against servers that no instance watches at the target size, where servers are many
   * relative to subsets.
   */
  @Test
  public void everyServerIsWatchedAtTargetSize() {
    List<EntryInstance> instances = instances(420);
    List<BackendServer> servers = servers(6_800);
    Set<BackendServer> watched = new HashSet<>();
    long start = System.nanoTime();
    int sampled = 0;
    for (EntryInstance self : instances) {
      if (self.failureDomain().value().equals("d0")) {
        watched.addAll(subset(self, instances, servers));
        sampled++;
      }
    }
    long millis = (System.nanoTime() - start) / 1_000_000;
    Reporter.log("one subset at the target size takes " + millis / sampled + " ms", true);
    for (BackendServer server : servers) {
      boolean own = server.failureDomain().value().equals("d0");
      assertTrue(!own || watched.contains(server), "no instance watches " + server.id());
    }
  }

  private static int missing(Set<BackendServer> before, Set<BackendServer> after) {
    Set<BackendServer> removed = new HashSet<>(before);
    removed.removeAll(after);
    return removed.size();
  }
}
