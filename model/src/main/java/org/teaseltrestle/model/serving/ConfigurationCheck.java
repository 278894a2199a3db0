package org.teaseltrestle.model.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.serving.ConfigurationProblem.Element;

/** Checks that the parts of a configuration agree with each other. */
final class ConfigurationCheck {

  private static final int MAXIMUM_PROBLEMS = 20;

  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private ConfigurationCheck() {}

  static List<ConfigurationProblem> check(
      long version,
      List<ServingRoute> routes,
      List<ServedPool> pools,
      List<ServedAccount> accounts) {
    ConfigurationCheck check = new ConfigurationCheck();
    if (!ValueRange.VERSION.contains(version)) {
      check.add(Element.VERSION, 0, 0, Long.toString(version), ValueRange.VERSION.toString());
    }
    check.checkRoutes(routes, pools.stream().map(ServedPool::pool).collect(Collectors.toSet()));
    check.checkPools(pools);
    check.checkAccounts(accounts);
    return List.copyOf(check.problems);
  }

  private void add(Element element, int index, int part, String found, String allowed) {
    if (problems.size() < MAXIMUM_PROBLEMS) {
      problems.add(new ConfigurationProblem(element, index, part, found, allowed));
    }
  }

  private void checkRoutes(List<ServingRoute> routes, Set<PoolId> pools) {
    Set<List<String>> hostsAndPrefixes = new HashSet<>();
    for (int i = 0; i < routes.size(); i++) {
      ServingRoute route = routes.get(i);
      String host = route.host();
      String prefix = route.pathPrefix();
      if (ServingConfiguration.normalizedHost(host).isEmpty() || !host.matches("[!-~]+")) {
        add(Element.ROUTE_HOST, i, 0, host, "a host name");
      }
      if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
        add(Element.ROUTE_PREFIX, i, 0, prefix, "a path that begins and ends with a slash");
      }
      if (!hostsAndPrefixes.add(List.of(ServingConfiguration.normalizedHost(host), prefix))) {
        add(Element.ROUTE_PREFIX, i, 0, prefix, "a host and prefix that no other route has");
      }
      if (!ValueRange.POSITIVE.contains(route.requestTimeoutMillis())) {
        String found = Long.toString(route.requestTimeoutMillis());
        add(Element.ROUTE_TIMEOUT, i, 0, found, ValueRange.POSITIVE.toString());
      }
      checkWeights(i, route.weightedPools(), pools);
    }
  }

  private void checkWeights(int route, List<WeightedPool> weightedPools, Set<PoolId> pools) {
    double sum = 0;
    for (int part = 0; part < weightedPools.size(); part++) {
      WeightedPool weighted = weightedPools.get(part);
      if (!pools.contains(weighted.pool())) {
        add(Element.ROUTE_POOL, route, part, weighted.pool().value(), "the name of a service");
      }
      if (weighted.weight() < 0) {
        add(Element.ROUTE_WEIGHT, route, part, "" + weighted.weight(), "a weight of 0 or above");
      }
      sum += weighted.weight();
    }
    if (!(sum > 0 && sum < Long.MAX_VALUE)) {
      add(Element.ROUTE_WEIGHTS, route, 0, "a sum of " + sum, "a sum above 0");
    }
  }

  private void checkPools(List<ServedPool> pools) {
    Set<PoolId> names = new HashSet<>();
    for (int i = 0; i < pools.size(); i++) {
      ServedPool pool = pools.get(i);
      if (!names.add(pool.pool())) {
        add(Element.POOL_NAME, i, 0, pool.pool().value(), "a name that no other service has");
      }
      if (!pool.healthPath().startsWith("/")) {
        add(Element.POOL_HEALTH_PATH, i, 0, pool.healthPath(), "a path that begins with a slash");
      }
      ScalingRange scaling = pool.scaling();
      if (scaling != null && scaling.maximumServers() < scaling.minimumServers()) {
        String found = Integer.toString(scaling.maximumServers());
        add(Element.POOL_MAXIMUM_SERVERS, i, 0, found, scaling.minimumServers() + " or above");
      }
    }
  }

  private void checkAccounts(List<ServedAccount> accounts) {
    Set<ClientAccount> names = new HashSet<>();
    Map<String, ClientAccount> holders = new HashMap<>();
    for (int i = 0; i < accounts.size(); i++) {
      ServedAccount account = accounts.get(i);
      if (!names.add(account.account())) {
        add(Element.ACCOUNT_NAME, i, 0, account.account().value(), "a name used only once");
      }
      for (String key : account.keys()) {
        ClientAccount other = holders.putIfAbsent(key, account.account());
        if (other != null) {
          add(Element.ACCOUNT_KEYS, i, 0, "a key of " + other, "keys that no other account has");
        }
      }
    }
  }
}
