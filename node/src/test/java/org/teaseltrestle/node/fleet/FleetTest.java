package org.teaseltrestle.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheEvents.CacheEvent;
import org.teaseltrestle.node.port.CacheEvents.Kind;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.policy.AdmissionEvent.CacheChanged;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.BackendServer.Capacity;
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.wire.PlanChange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the subsets, server states and cache views of the fleet duty. */
public final class FleetTest {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private static ListedServer engine(String id, String domain, State state) {
    return engine(id, domain, state, "pren-7b", Capacity.REGULAR, EngineRole.MIXED, "v1");
  }

  private static ListedServer engine(
      String id,
      String domain,
      State state,
      String model,
      Capacity capacity,
      EngineRole role,
      String softwareVersion) {
    BackendServer server =
        new BackendServer(
            new BackendServerId(id),
            new PoolId("models"),
            new FailureDomain(domain),
            "http://127.0.0.1:1",
            Set.of(new ItemName(model)),
            capacity,
            state,
            role,
            softwareVersion);
    return new ListedServer(server, ListedServer.Kind.ENGINE);
  }

  private static FleetSettings settings(String instance, int subset) {
    FleetSettings standard =
        FleetSettings.of(new InstanceId(instance), new FailureDomain("caerdydd"));
    return new FleetSettings(
        standard.instance(),
        standard.failureDomain(),
        subset,
        standard.listInterval(),
        standard.loadInterval(),
        standard.cacheInterval(),
        standard.pollThreads());
  }

  private static List<State> states(List<BackendServer> servers) {
    return servers.stream().map(BackendServer::state).toList();
  }

  /** Selection of the subset. */
  public static final class Subsets {

    /**
     * Guards against instances that all use the same servers or prefer servers of other domains.
     */
    @Test
    public void ownDomainIsPreferredAndSubsetsDiffer() {
      List<ListedServer> listed = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        listed.add(engine("near-" + i, "caerdydd", State.LIVE));
        listed.add(engine("far-" + i, "wrecsam", State.LIVE));
      }
      Set<BackendServerId> all = new HashSet<>();
      List<ListedServer> first = Subset.choose(listed, settings("entry-0", 8));
      for (int i = 0; i < 60; i++) {
        for (ListedServer chosen : Subset.choose(listed, settings("entry-" + i, 8))) {
          assertEquals(chosen.server().failureDomain().value(), "caerdydd");
          all.add(chosen.server().id());
        }
      }
      assertTrue(all.size() > 90, "only " + all.size() + " of 100 servers are used");
      assertNotEquals(first, Subset.choose(listed, settings("entry-1", 8)));
      listed.remove(first.get(0));
      List<ListedServer> after = Subset.choose(listed, settings("entry-0", 8));
      assertEquals(after.subList(0, 7), first.subList(1, 8));
    }

    /** Kinds of servers that take different requests from those of the standard kind. */
    @DataProvider
    public Object[][] otherKinds() {
      return new Object[][] {
        {"pren-70b", Capacity.REGULAR, EngineRole.MIXED, "v1"},
        {"pren-7b", Capacity.CHEAP, EngineRole.MIXED, "v1"},
        {"pren-7b", Capacity.REGULAR, EngineRole.PREFILL_ONLY, "v1"},
        {"pren-7b", Capacity.REGULAR, EngineRole.MIXED, "v2"},
      };
    }

    /** Guards against requests that no server of the subset may run, though listed ones may. */
    @Test(dataProvider = "otherKinds")
    public void subsetHasServersForEachRequest(
        String model, Capacity capacity, EngineRole role, String softwareVersion) {
      List<ListedServer> listed = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        String id = "near-" + i;
        listed.add(engine(id, "caerdydd", State.LIVE, model, capacity, role, softwareVersion));
      }
      ListedServer only = engine("far", "wrecsam", State.LIVE);
      listed.add(only);
      List<ListedServer> chosen = Subset.choose(listed, settings("entry-0", 8));
      assertTrue(chosen.contains(only), "without the only one that may run it: " + chosen);
      assertEquals(chosen.size(), 9);
    }
  }

  /** States that the instance list does not show yet. */
  public static final class States {

    /** Guards against new work for servers that leave by list, by drain or by their own report. */
    @Test
    public void listedDrainingAndReportedServersLeave() {
      ServerObservations observations = new ServerObservations(10_000_000_000L);
      observations.markLeaving(new BackendServerId("c"), 0);
      List<ListedServer> listed =
          List.of(
              engine("a", "x", State.LEAVING),
              engine("b", "x", State.LIVE),
              engine("c", "x", State.LIVE),
              engine("d", "x", State.LIVE));
      PlanChange drain = PlanChange.newBuilder().setBackendServer("b").setKind("drain").build();
      List<BackendServer> servers =
          FleetStates.of(listed, observations, List.of(drain), SECOND_NANOS);
      assertEquals(
          states(servers), List.of(State.LEAVING, State.DRAINING, State.LEAVING, State.LIVE));
    }

    /** Guards against ejected servers that look live, and ejections that never end. */
    @Test
    public void lostServersAreEjectedUntilTheyRespond() {
      ServerObservations observations = new ServerObservations(10_000_000_000L);
      List<ListedServer> listed =
          List.of(engine("a", "x", State.LIVE), engine("b", "x", State.LIVE));
      observations.markLost(new BackendServerId("a"), 0);
      assertEquals(
          states(FleetStates.of(listed, observations, List.of(), 1)),
          List.of(State.EJECTED, State.LIVE));
      observations.markLost(new BackendServerId("b"), 0);
      assertEquals(
          states(FleetStates.of(listed, observations, List.of(), 1)),
          List.of(State.EJECTED, State.EJECTED));
      assertFalse(observations.recordResponse(new BackendServerId("a"), SECOND_NANOS / 2));
      assertTrue(observations.recordResponse(new BackendServerId("a"), 2 * SECOND_NANOS));
      assertEquals(
          states(FleetStates.of(listed, observations, List.of(), 2 * SECOND_NANOS)),
          List.of(State.LIVE, State.EJECTED));
      assertFalse(observations.isEjected(new BackendServerId("b"), 11 * SECOND_NANOS));
    }
  }

  /** Announcements to the admission duty. */
  public static final class Announcements {

    private static final int SERVERS = 300;

    private final ServerObservations observations = new ServerObservations(SECOND_NANOS);
    private final FleetAnnouncement announcement = new FleetAnnouncement(observations);

    /** Guards against sorting and comparing hundreds of servers at every tick. */
    @Test
    public void unchangedFleetIsNotRecomputed() {
      List<PlanChange> none = List.of();
      announcement.setSubset(fleet());
      List<BackendServer> first = announcement.servers(none, 0);
      assertEquals(first.size(), SERVERS);
      assertSame(announcement.servers(none, SECOND_NANOS / 2), first);
      announcement.setSubset(fleet());
      assertSame(announcement.servers(none, SECOND_NANOS / 2), first);
    }

    /** Guards against a change that is not announced because the last result is cached. */
    @Test
    public void everyChangeIsAnnounced() {
      List<PlanChange> none = List.of();
      announcement.setSubset(fleet());
      final List<BackendServer> first = announcement.servers(none, 0);
      assertTrue(observations.markLost(new BackendServerId("engine-7"), 0));
      announcement.observationsChanged();
      assertEquals(ejected(announcement.servers(none, 1)), 1);
      assertTrue(observations.expire(2 * SECOND_NANOS));
      announcement.observationsChanged();
      assertEquals(announcement.servers(none, 2 * SECOND_NANOS), first);
      PlanChange drain =
          PlanChange.newBuilder().setBackendServer("engine-8").setKind("drain").build();
      assertNotEquals(announcement.servers(List.of(drain), 2 * SECOND_NANOS), first);
      announcement.setSubset(fleet().subList(0, 10));
      assertEquals(announcement.servers(none, 2 * SECOND_NANOS).size(), 10);
    }

    private static List<ListedServer> fleet() {
      List<ListedServer> listed = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        listed.add(engine("engine-" + i, "caerdydd", State.LIVE));
      }
      return listed;
    }

    private static long ejected(List<BackendServer> servers) {
      return servers.stream().filter(server -> server.state() == State.EJECTED).count();
    }
  }

  /** Views of the engines' prefix caches. */
  public static final class Caches {

    private static CacheEvents events(CacheEvent... events) {
      return new CacheEvents(List.of(events));
    }

    /** Guards against a view that is used after a gap as if no change was missed. */
    @Test
    public void gapMakesTheViewUnknownUntilTheNextListing() {
      PrefixCacheView view = new PrefixCacheView(new BackendServerId("a"));
      assertTrue(view.needsListing());
      view.apply(new CacheListing(4, Set.of("p")));
      CacheChanged change =
          view.apply(
              events(new CacheEvent(4, Kind.REMOVED, "p"), new CacheEvent(5, Kind.STORED, "q")));
      assertEquals(change, new CacheChanged(new BackendServerId("a"), true, Set.of("q"), Set.of()));
      change = view.apply(events(new CacheEvent(7, Kind.STORED, "r")));
      assertEquals(change, new CacheChanged(new BackendServerId("a"), false, Set.of(), Set.of()));
      assertTrue(view.needsListing());
      change = view.apply(new CacheListing(9, Set.of("q", "s")));
      assertEquals(
          change, new CacheChanged(new BackendServerId("a"), true, Set.of("q", "s"), Set.of()));
    }

    /** Guards against prefixes that remain after the engine has cleared its cache. */
    @Test
    public void clearingRemovesAllPrefixes() {
      PrefixCacheView view = new PrefixCacheView(new BackendServerId("a"));
      view.apply(new CacheListing(1, Set.of("p")));
      CacheChanged change =
          view.apply(
              events(
                  new CacheEvent(2, Kind.STORED, "q"),
                  new CacheEvent(3, Kind.CLEARED, ""),
                  new CacheEvent(4, Kind.STORED, "r")));
      assertEquals(
          change, new CacheChanged(new BackendServerId("a"), true, Set.of("r"), Set.of("p", "q")));
    }
  }
}
