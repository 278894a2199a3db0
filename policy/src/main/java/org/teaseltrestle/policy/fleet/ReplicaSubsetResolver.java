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
 * Chooses the subset of backend servers that one entry instance watches and uses.
 *
 * <p>Most of the subset comes from the own failure domain. There each server is assigned the same
 * number of instances by rendezvous hashing with bounded loads, so that every server is watched and
 * no instance watches far more servers than another. (If each instance picked servers on its own,
 * about a fifth of the servers would be watched by no instance at the target size.) The rest of the
 * subset, chosen by the instance's own hashing, covers models that are still missing and includes
 * servers of other domains for requests that the own domain cannot take.
 *
 * <p>All instances with the same view of the fleet compute the same assignment, and a change of one
 * instance or server changes few subsets. Pure logic; the cost grows with the product of servers
 * and instances in the domain.
 */
public final class ReplicaSubsetResolver {

  /** Default number of servers in a subset. */
  public static final int DEFAULT_SIZE = 32;

  /** Fraction of a subset that is assigned within the own failure domain. */
  private static final double ASSIGNED_FRACTION = 0.75;

  /** Maximum load of an instance relative to the mean; some slack keeps changes local. */
  private static final double MAXIMUM_RELATIVE_LOAD = 1.25;

  private final EntryInstance self;
  private final int size;

  /** Creates a resolver for one instance with the default size. */
  public ReplicaSubsetResolver(EntryInstance self) {
    this(self, DEFAULT_SIZE);
  }

  /**
   * Creates a resolver for one instance.
   *
   * @param size number of servers in the subset; exceeded only if covering all models requires it
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
    subset.coverAllGroups();
    subset.fill();
    subset.shrink();
    return sortedById(subset.chosen);
  }

  /** Returns the servers of the own domain that are assigned to this instance. */
  private List<BackendServer> assigned(
      Collection<EntryInstance> instances, List<BackendServer> servers) {
    Map<FailureDomain, Set<InstanceId>> domains = new TreeMap<>();
    for (EntryInstance instance : instances) {
      domains
          .computeIfAbsent(instance.failureDomain(), key -> new LinkedHashSet<>())
          .add(instance.id());
    }
    domains.computeIfAbsent(self.failureDomain(), key -> new LinkedHashSet<>()).add(self.id());
    List<BackendServer> domainServers = new ArrayList<>();
    for (BackendServer server : servers) {
      if (assigningDomain(server, domains.keySet()).equals(self.failureDomain())) {
        domainServers.add(server);
      }
    }
    List<InstanceId> peers = new ArrayList<>(domains.getOrDefault(self.failureDomain(), Set.of()));
    peers.sort(Comparator.naturalOrder());
    return new Assignment(peers, domainServers).serversOf(self.id());
  }

  /**
   * Returns the domain whose instances a server is assigned to: its own, or one chosen by hashing
   * if its own has no instances.
   */
  private static FailureDomain assigningDomain(BackendServer server, Set<FailureDomain> domains) {
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

  /** Rendezvous hashing with bounded loads between the instances and servers of one domain. */
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

    List<BackendServer> serversOf(InstanceId instance) {
      Set<BackendServer> picked = new LinkedHashSet<>();
      if (servers.isEmpty()) {
        return List.of();
      }
      int count = instances.size();
      double quota = size * ASSIGNED_FRACTION;
      int copies = (int) Math.max(1, Math.min(count, count * quota / servers.size()));
      double mean = (double) servers.size() * copies / count;
      int limit = (int) Math.ceil(Math.max(1, mean * MAXIMUM_RELATIVE_LOAD));
      int index = instances.indexOf(instance);
      for (BackendServer server : servers) {
        boolean[] taken = new boolean[count];
        for (int copy = 0; copy < copies; copy++) {
          int best = bestInstance(Rendezvous.hash(server.id().value()), taken, limit);
          if (best < 0) {
            break;
          }
          taken[best] = true;
          loads[best]++;
          if (best == index) {
            picked.add(server);
          }
        }
      }
      return new ArrayList<>(picked);
    }

    private int bestInstance(long serverHash, boolean[] taken, int limit) {
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

  /** A subset under construction. Servers are grouped by model, or by pool for a plain service. */
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

    /** Adds a server for each missing group, from the own domain if it has one. */
    void coverAllGroups() {
      for (Map.Entry<String, List<BackendServer>> group : groups.entrySet()) {
        if (counts.getOrDefault(group.getKey(), 0) == 0) {
          BackendServer own = firstNotChosen(group.getValue(), true);
          BackendServer server = own == null ? firstNotChosen(group.getValue(), false) : own;
          if (server != null) {
            add(server);
          }
        }
      }
    }

    /** Adds servers up to the size, always for the group with the fewest. */
    void fill() {
      while (chosen.size() < size) {
        BackendServer next = null;
        int fewest = Integer.MAX_VALUE;
        for (Map.Entry<String, List<BackendServer>> group : groups.entrySet()) {
          int count = counts.getOrDefault(group.getKey(), 0);
          if (count < fewest) {
            BackendServer candidate = firstNotChosen(group.getValue(), false);
            if (candidate != null) {
              next = candidate;
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

    /**
     * Removes servers while there are more than the size; only those whose groups all have another
     * server.
     */
    void shrink() {
      List<BackendServer> candidates = new ArrayList<>(chosen);
      for (BackendServer server : candidates) {
        if (chosen.size() <= size) {
          return;
        }
        boolean redundant =
            groups(server).stream().allMatch(group -> counts.getOrDefault(group, 0) > 1);
        if (redundant) {
          chosen.remove(server);
          groups(server).forEach(group -> counts.merge(group, -1, Integer::sum));
        }
      }
    }

    private @Nullable BackendServer firstNotChosen(List<BackendServer> group, boolean ownDomain) {
      for (BackendServer server : group) {
        boolean domainMatches = !ownDomain || server.failureDomain().equals(self.failureDomain());
        if (domainMatches && !chosen.contains(server)) {
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
