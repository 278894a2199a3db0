package org.teaseltrestle.model.lists;

import java.util.List;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A plain service that plans may use.
 *
 * @param service name, the path element after {@code /services/}
 * @param pool pool of backend servers
 * @param openRoutes routes that need no key
 * @param idempotentRoutes routes that may be repeated besides those of idempotent methods
 * @param nonIdempotentRoutes routes that may not be repeated although their method is idempotent
 */
public record ServiceEntry(
    ItemName service,
    PoolId pool,
    List<RoutePattern> openRoutes,
    List<RoutePattern> idempotentRoutes,
    List<RoutePattern> nonIdempotentRoutes) {

  /** Copies the routes. */
  public ServiceEntry {
    openRoutes = List.copyOf(openRoutes);
    idempotentRoutes = List.copyOf(idempotentRoutes);
    nonIdempotentRoutes = List.copyOf(nonIdempotentRoutes);
  }

  /** Tells whether a call needs no key. The path starts with a slash, after the service's name. */
  public boolean isOpen(String method, String path) {
    return openRoutes.stream().anyMatch(route -> route.matches(method, path));
  }

  /** Tells whether a call may be run twice without harm. */
  public boolean isIdempotent(String method, String path) {
    if (nonIdempotentRoutes.stream().anyMatch(route -> route.matches(method, path))) {
      return false;
    }
    return switch (method) {
      case "GET", "HEAD", "OPTIONS", "PUT", "DELETE" -> true;
      default -> idempotentRoutes.stream().anyMatch(route -> route.matches(method, path));
    };
  }
}
