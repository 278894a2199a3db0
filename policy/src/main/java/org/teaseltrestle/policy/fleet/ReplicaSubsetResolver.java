package org.teaseltrestle.policy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.policy.BackendServer;

/**
 * Chooses the backend servers that one entry instance watches and uses.
 *
 * <p>Most of the subset comes from the own failure domain: there each server picks the same number
 * of instances by rendezvous hashing with a bounded load, so that every server is watched and no
 * instance watches far more than another. (If each instance picked servers on its own, about a
 * fifth of them would be watched by nobody at the target size.) The rest covers the models that are
 * missing and keeps servers of other domains for spilling, by the instance's own hashing.
 *
 * <p>All instances that see the same fleet agree on the result, and a change of one instance or
 * server changes few subsets. Pure; the cost grows with the domain's servers times its instances.
 */
public final class ReplicaSubsetResolver {

  /** Default number of servers in a subset. */
  public static final int DEFAULT_SIZE = 32;

  /** Part of a subset that the own failure domain assigns. */
  private static final double ASSIGNED = 0.75;

  /** Load above the mean that an instance may get; some slack keeps changes local. */
  private static final double LOAD_SLACK = 1.25;

  private final EntryInstance self;
  private final int size;

  /** Creates a resolver for one instance with the default size. */
  public ReplicaSubsetResolver(EntryInstance self) {
    this(self, DEFAULT_SIZE);
  }

  /**
   * Creates a resolver for one instance.
   *
   * @param size servers in the subset; exceeded only if there are more models
   */
  public ReplicaSubsetResolver(EntryInstance self, int size) {
    this.self = self;
    this.size = size;
  }

  /** Returns this instance's subset, sorted by identifier. */
  public List<BackendServer> resolve(
      Collection<EntryInstance> instances, Collection<BackendServer> servers) {
    List<BackendServer> sorted = sortedById(servers);
    if (sorted.size() <= size) {
      return sorted;
    }
    Subset subset = new Subset(sorted);
    assigned(instances, sorted).forEach(subset::add);
    subset.coverAll();
    subset.fill();
    subset.shrink();
    return sortedById(subset.chosen);
  }

  /** Returns the servers of the own domain that pick this instance. */
  private List<BackendServer> assigned(
      Collection<EntryInstance> instances, List<BackendServer> servers) {
    Map<FailureDomain, Set<InstanceId>> domains = new TreeMap<>();
    for (EntryInstance instance : instances) {
      domains
          .computeIfAbsent(instance.failureDomain(), key -> new LinkedHashSet<>())
          .add(instance.id());
    }
    domains.computeIfAbsent(self.failureDomain(), key -> new LinkedHashSet<>()).add(self.id());
    List<BackendServer> home = new ArrayList<>();
    for (BackendServer server : servers) {
      if (home(server, domains.keySet()).equals(self.failureDomain())) {
        home.add(server);
      }
    }
    List<InstanceId> peers = new ArrayList<>(domains.getOrDefault(self.failureDomain(), Set.of()));
    peers.sort(Comparator.naturalOrder());
    return new Assignment(peers, home).of(self.id());
  }

  /** Returns the domain that assigns a server; servers of a domain without instances spread. */
  private static FailureDomain home(BackendServer server, Set<FailureDomain> domains) {
    if (domains.contains(server.failureDomain())) {
      return server.failureDomain();
    }
    long hash = Rendezvous.hash(server.id().value());
    FailureDomain best = server.failureDomain();
    long bestScore = Long.MIN_VALUE;
    for (FailureDomain domain : domains) {
      long score = Rendezvous.score(Rendezvous.hash(domain.value()), hash);
      if (score >= bestScore) {
        best = domain;
        bestScore = score;
      }
    }
    return best;
  }

  private static List<BackendServer> sortedById(Collection<BackendServer> servers) {
    List<BackendServer> sorted = new ArrayList<>(servers);
    sorted.sort(Comparator.comparing(BackendServer::id));
    return sorted;
  }

  /** Rendezvous hashing with bounded load between the instances and servers of one domain. */
  private final class Assignment {
    private final List<InstanceId> instances;
    private final List<BackendServer> servers;
    private final long[] instanceHashes;
    private final int[] loads;

    Assignment(List<InstanceId> instances, List<BackendServer> servers) {
      this.instances = instances;
      this.servers = new ArrayList<>(servers);
      this.servers.sort(Comparator.comparingLong(server -> Rendezvous.hash(server.id().value())));
      this.instanceHashes =
          instances.stream().mapToLong(id -> Rendezvous.hash(id.value())).toArray();
      this.loads = new int[instances.size()];
    }

    List<BackendServer> of(InstanceId wanted) {
      Set<BackendServer> picked = new LinkedHashSet<>();
      if (servers.isEmpty()) {
        return List.of();
      }
      int count = instances.size();
      double quota = size * ASSIGNED;
      int copies = (int) Math.max(1, Math.min(count, count * quota / servers.size()));
      double mean = (double) servers.size() * copies / count;
      int limit = (int) Math.ceil(Math.max(1, mean * LOAD_SLACK));
      int self = instances.indexOf(wanted);
      for (BackendServer server : servers) {
        boolean[] taken = new boolean[count];
        for (int copy = 0; copy < copies; copy++) {
          int best = best(Rendezvous.hash(server.id().value()), taken, limit);
          if (best < 0) {
            break;
          }
          taken[best] = true;
          loads[best]++;
          if (best == self) {
            picked.add(server);
          }
        }
      }
      return new ArrayList<>(picked);
    }

    private int best(long serverHash, boolean[] taken, int limit) {
      int best = -1;
      long bestScore = 0;
      for (int i = 0; i < instanceHashes.length; i++) {
        long score = Rendezvous.score(instanceHashes[i], serverHash);
        if (!taken[i] && loads[i] < limit && (best < 0 || score > bestScore)) {
          best = i;
          bestScore = score;
        }
      }
      return best;
    }
  }

  /** The subset while it grows; a group is a model, or a pool of a plain service. */
  private final class Subset {
    final Set<BackendServer> chosen = new LinkedHashSet<>();
    private final Map<String, List<BackendServer>> groups = new TreeMap<>();
    private final Map<String, Integer> counts = new HashMap<>();

    Subset(List<BackendServer> servers) {
      long own = Rendezvous.hash(self.id().value());
      List<BackendServer> byScore = new ArrayList<>(servers);
      Map<BackendServer, Long> scores = new HashMap<>();
      for (BackendServer server : servers) {
        scores.put(server, Rendezvous.score(own, Rendezvous.hash(server.id().value())));
      }
      byScore.sort(Comparator.comparing(scores::get));
      for (BackendServer server : byScore) {
        for (String group : groups(server)) {
          groups.computeIfAbsent(group, key -> new ArrayList<>()).add(server);
        }
      }
    }

    void add(BackendServer server) {
      if (chosen.add(server)) {
        groups(server).forEach(group -> counts.merge(group, 1, Integer::sum));
      }
    }

    /** Adds a server for each missing model, of the own domain if it has one. */
    void coverAll() {
      for (Map.Entry<String, List<BackendServer>> group : groups.entrySet()) {
        if (counts.getOrDefault(group.getKey(), 0) == 0) {
          BackendServer own = firstFree(group.getValue(), true);
          BackendServer server = own == null ? firstFree(group.getValue(), false) : own;
          if (server != null) {
            add(server);
          }
        }
      }
    }

    /** Adds servers up to the size, always for the model that has the fewest. */
    void fill() {
      while (chosen.size() < size) {
        BackendServer next = null;
        int fewest = Integer.MAX_VALUE;
        for (Map.Entry<String, List<BackendServer>> group : groups.entrySet()) {
          int count = counts.getOrDefault(group.getKey(), 0);
          if (count < fewest) {
            BackendServer free = firstFree(group.getValue(), false);
            if (free != null) {
              next = free;
              fewest = count;
            }
          }
        }
        if (next == null) {
          return;
        }
        add(next);
      }
    }

    /** Removes servers above the size whose models all have another server. */
    void shrink() {
      List<BackendServer> candidates = new ArrayList<>(chosen);
      for (BackendServer server : candidates) {
        if (chosen.size() <= size) {
          return;
        }
        boolean spare =
            groups(server).stream().allMatch(group -> counts.getOrDefault(group, 0) > 1);
        if (spare) {
          chosen.remove(server);
          groups(server).forEach(group -> counts.merge(group, -1, Integer::sum));
        }
      }
    }

    private @Nullable BackendServer firstFree(List<BackendServer> group, boolean ownDomain) {
      for (BackendServer server : group) {
        boolean domainFits = !ownDomain || server.failureDomain().equals(self.failureDomain());
        if (domainFits && !chosen.contains(server)) {
          return server;
        }
      }
      return null;
    }

    private List<String> groups(BackendServer server) {
      if (server.models().isEmpty()) {
        return List.of(server.pool().value());
      }
      List<String> names = new ArrayList<>();
      server.models().forEach(model -> names.add(server.pool().value() + " " + model.value()));
      return names;
    }
  }
}
