package org.teaseltrestle.model.serving;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.PoolId;

/** One version of the serving configuration; immutable. */
public final class ServingConfiguration {

  private final long version;
  private final List<ServingRoute> routes;
  private final List<ServedPool> listedPools;
  private final Map<PoolId, ServedPool> pools;
  private final Access access;
  private final List<ServedAccount> accounts;
  private final CallerLimits limits;
  private final Map<String, List<ServingRoute>> routesByHost;
  private final Map<String, ServedAccount> accountByKey;

  /** Who may use the routes that require a key. */
  public enum Access {
    /** Everyone: the configuration has no accounts. */
    OPEN,
    /** Holders of a key of an account; nobody if there are no accounts. */
    KEYS
  }

  /** Creates a configuration that requires keys unless it has no accounts. */
  public ServingConfiguration(
      long version,
      List<ServingRoute> routes,
      List<ServedPool> pools,
      List<ServedAccount> accounts,
      CallerLimits limits) {
    this(version, routes, pools, accounts.isEmpty() ? Access.OPEN : Access.KEYS, accounts, limits);
  }

  /** Creates a configuration, which may be applied only if {@link #problems()} is empty. */
  public ServingConfiguration(
      long version,
      List<ServingRoute> routes,
      List<ServedPool> pools,
      Access access,
      List<ServedAccount> accounts,
      CallerLimits limits) {
    this.version = version;
    this.access = access;
    this.routes = List.copyOf(routes);
    this.accounts = List.copyOf(accounts);
    this.limits = limits;
    this.listedPools = List.copyOf(pools);
    this.pools = new HashMap<>();
    pools.forEach(pool -> this.pools.put(pool.pool(), pool));
    // Sorted by decreasing prefix length, so that the first match is the longest one.
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparing(route -> -route.pathPrefix().length()))
            .collect(Collectors.groupingBy(route -> normalizedHost(route.host())));
    this.accountByKey = new HashMap<>();
    accounts.forEach(account -> account.keys().forEach(key -> accountByKey.put(key, account)));
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns all routes. */
  public List<ServingRoute> routes() {
    return routes;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns all pools. */
  public List<ServedPool> pools() {
    return List.copyOf(pools.values());
  }

  /** Returns a pool, or null if there is none of that name. */
  public @Nullable ServedPool pool(PoolId pool) {
    return pools.get(pool);
  }

  /** Returns whether requests need a key, except on routes without keys. */
  public boolean requiresKeys() {
    return access == Access.KEYS;
  }

  /** Returns the account that a key belongs to, or null if no account holds it. */
  public @Nullable ServedAccount accountOf(String key) {
    return accountByKey.get(key);
  }

  /**
   * Returns the route of a request, or null if none matches.
   *
   * @param host host of the request, with or without a port; case is ignored
   * @param path path without the query
   */
  public @Nullable ServingRoute route(String host, String path) {
    for (ServingRoute route : routesByHost.getOrDefault(normalizedHost(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** Returns the errors for which this configuration must not be applied; empty if it is valid. */
  public List<ConfigurationProblem> problems() {
    return ConfigurationCheck.check(version, routes, listedPools, accounts);
  }

  /** Returns a host as it is compared: without a port and in lower case. */
  static String normalizedHost(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
