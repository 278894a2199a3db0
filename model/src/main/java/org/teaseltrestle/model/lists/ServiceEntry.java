package org.teaseltrestle.model.lists;

import java.util.List;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;

/**
 * A plain HTTP service that plans may use.
 *
 * @param service name, the path element after {@code /services/}
 * @param pool pool of backend servers
 * @param openRoutes routes that need no key
 * @param idempotentRoutes routes that are idempotent although their HTTP method is not
 * @param nonIdempotentRoutes routes that are not idempotent although their HTTP method is
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

  /** Returns whether a request needs no key; the path is the part after the service's name. */
  public boolean isOpen(String method, String path) {
    return openRoutes.stream().anyMatch(route -> route.matches(method, path));
  }

  /** Returns whether a request may be run more than once without harm. */
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
