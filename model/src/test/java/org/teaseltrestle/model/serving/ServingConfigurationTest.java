package org.teaseltrestle.model.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.PoolId;
import org.testng.annotations.Test;

/** Tests of the choice of a route by host and path. */
public final class ServingConfigurationTest {

  private static final PoolId POOL = new PoolId("pool");
  private static final PoolId OTHER = new PoolId("other");

  private static ServingRoute route(String host, String prefix, WeightedPool... pools) {
    return new ServingRoute(
        host + prefix,
        host,
        prefix,
        ServingRoute.Kind.IDEMPOTENT,
        Set.of(),
        1,
        0,
        1_000,
        0,
        0,
        pools.length == 0 ? List.of(new WeightedPool(POOL, 1)) : List.of(pools));
  }

  private static ServingConfiguration configuration(long version, ServingRoute... routes) {
    return new ServingConfiguration(
        version,
        List.of(routes),
        List.of(
            new ServedPool(POOL, "/health", 0, null, null),
            new ServedPool(OTHER, "/health", 0, null, null)),
        List.of(),
        CallerLimits.DEFAULT);
  }

  private static String routeOf(ServingConfiguration configuration, String host, String path) {
    ServingRoute route = configuration.route(host, path);
    return route == null ? "" : route.name();
  }

  /** Guards against an added route that is not served because its host is written otherwise. */
  @Test
  public void hostIsComparedWithoutCaseAndPort() {
    for (String configured : List.of("api.example", "API.Example", "api.example:80")) {
      ServingConfiguration configuration = configuration(1, route(configured, "/a/"));
      assertTrue(configuration.problems().isEmpty(), configured);
      for (String host :
          List.of("api.example", "API.EXAMPLE", "api.example:8080", "Api.example:")) {
        assertEquals(routeOf(configuration, host, "/a/x"), configured + "/a/", host);
      }
      assertEquals(routeOf(configuration, "other.example", "/a/x"), "");
      assertEquals(routeOf(configuration, "", "/a/x"), "");
    }
    ServingConfiguration numeric = configuration(1, route("[::1]", "/a/"));
    assertEquals(routeOf(numeric, "[::1]:80", "/a/"), "[::1]/a/");
  }

  /** Guards against an added route that is hidden by a shorter prefix, in any order of the list. */
  @Test
  public void longestPrefixWinsInAnyOrder() {
    List<ServingRoute> routes =
        List.of(route("h", "/"), route("h", "/a/"), route("h", "/a/b/"), route("h", "/ab/"));
    for (int first = 0; first < routes.size(); first++) {
      List<ServingRoute> rotated = new ArrayList<>(routes.subList(first, routes.size()));
      rotated.addAll(routes.subList(0, first));
      ServingConfiguration configuration = configuration(1, rotated.toArray(ServingRoute[]::new));
      assertEquals(routeOf(configuration, "h", "/a/b/c"), "h/a/b/");
      assertEquals(routeOf(configuration, "h", "/a/b"), "h/a/");
      assertEquals(routeOf(configuration, "h", "/a"), "h/");
      assertEquals(routeOf(configuration, "h", "/ab/"), "h/ab/");
      assertEquals(routeOf(configuration, "h", "/"), "h/");
    }
    assertEquals(routeOf(configuration(1, route("h", "/a/")), "h", "/a"), "");
  }

  /** Guards against requests that go to a pool with a weight of 0. */
  @Test
  public void poolWithoutWeightGetsNoRequests() {
    for (int position = 0; position < 3; position++) {
      List<WeightedPool> pools = new ArrayList<>();
      pools.add(new WeightedPool(POOL, 3));
      pools.add(new WeightedPool(POOL, 1));
      pools.add(position, new WeightedPool(OTHER, 0));
      ServingRoute route = route("h", "/", pools.toArray(WeightedPool[]::new));
      assertTrue(configuration(1, route).problems().isEmpty());
      for (long sample = -50; sample < 50; sample++) {
        assertEquals(route.poolFor(sample), POOL);
      }
      assertEquals(route.poolFor(Long.MIN_VALUE), POOL);
      assertEquals(route.poolFor(Long.MAX_VALUE), POOL);
    }
  }
}
