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
import org.teaseltrestle.policy.BackendServer.State;
import org.teaseltrestle.wire.PlanChange;
import org.testng.annotations.Test;

/** Subsets, states and cache views of the fleet duty. */
public final class FleetTest {

  private static final long SECOND = 1_000_000_000L;

  private static ListedServer engine(String id, String domain, State state) {
    BackendServer server =
        new BackendServer(
            new BackendServerId(id),
            new PoolId("models"),
            new FailureDomain(domain),
            "http://127.0.0.1:1",
            Set.of(new ItemName("pren-7b")),
            BackendServer.Capacity.REGULAR,
            state);
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

  /** Choice of the subset. */
  public static final class Subsets {

    /** Guards against instances that all watch the same servers, and remote ones chosen first. */
    @Test
    public void ownDomainComesFirstAndInstancesDiffer() {
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
  }

  /** States ahead of the list. */
  public static final class States {

    /** Guards against new work for servers that leave by list, by drain or by their own word. */
    @Test
    public void everySignOfLeavingCounts() {
      ServerMarks marks = new ServerMarks(10_000_000_000L);
      marks.leaving(new BackendServerId("c"), 0);
      List<ListedServer> listed =
          List.of(
              engine("a", "x", State.LEAVING),
              engine("b", "x", State.LIVE),
              engine("c", "x", State.LIVE),
              engine("d", "x", State.LIVE));
      PlanChange drain = PlanChange.newBuilder().setBackendServer("b").setKind("drain").build();
      List<BackendServer> servers = FleetStates.of(listed, marks, List.of(drain), SECOND);
      assertEquals(
          states(servers), List.of(State.LEAVING, State.DRAINING, State.LEAVING, State.LIVE));
    }

    /** Guards against ejections that empty a pool, and ejections without end. */
    @Test
    public void ejectionNeverEmptiesThePool() {
      ServerMarks marks = new ServerMarks(10_000_000_000L);
      List<ListedServer> listed =
          List.of(engine("a", "x", State.LIVE), engine("b", "x", State.LIVE));
      marks.lost(new BackendServerId("a"), 0);
      assertEquals(
          states(FleetStates.of(listed, marks, List.of(), 1)), List.of(State.LEAVING, State.LIVE));
      marks.lost(new BackendServerId("b"), 0);
      assertEquals(
          states(FleetStates.of(listed, marks, List.of(), 1)), List.of(State.LIVE, State.LIVE));
      assertFalse(marks.answered(new BackendServerId("a"), SECOND / 2));
      assertTrue(marks.answered(new BackendServerId("a"), 2 * SECOND));
      assertEquals(
          states(FleetStates.of(listed, marks, List.of(), 2 * SECOND)),
          List.of(State.LIVE, State.LEAVING));
      assertFalse(marks.isEjected(new BackendServerId("b"), 11 * SECOND));
    }
  }

  /** Announcements to the admission duty. */
  public static final class Announcements {

    private static final int SERVERS = 300;

    private final ServerMarks marks = new ServerMarks(SECOND);
    private final FleetAnnouncement announcement = new FleetAnnouncement(marks);

    /** Guards against hundreds of servers that are sorted and compared at every tick. */
    @Test
    public void unchangedFleetIsNotWorkedOutAgain() {
      List<PlanChange> none = List.of();
      announcement.use(fleet());
      List<BackendServer> first = announcement.servers(none, 0);
      assertEquals(first.size(), SERVERS);
      assertSame(announcement.servers(none, SECOND / 2), first);
      announcement.use(fleet());
      assertSame(announcement.servers(none, SECOND / 2), first);
    }

    /** Guards against a change that is not announced since the last result is kept. */
    @Test
    public void everyChangeIsAnnounced() {
      List<PlanChange> none = List.of();
      announcement.use(fleet());
      final List<BackendServer> first = announcement.servers(none, 0);
      assertTrue(marks.lost(new BackendServerId("engine-7"), 0));
      announcement.marksChanged();
      assertEquals(leaving(announcement.servers(none, 1)), 1);
      assertTrue(marks.expire(2 * SECOND));
      announcement.marksChanged();
      assertEquals(announcement.servers(none, 2 * SECOND), first);
      PlanChange drain =
          PlanChange.newBuilder().setBackendServer("engine-8").setKind("drain").build();
      assertNotEquals(announcement.servers(List.of(drain), 2 * SECOND), first);
      announcement.use(fleet().subList(0, 10));
      assertEquals(announcement.servers(none, 2 * SECOND).size(), 10);
    }

    private static List<ListedServer> fleet() {
      List<ListedServer> listed = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        listed.add(engine("engine-" + i, "caerdydd", State.LIVE));
      }
      return listed;
    }

    private static long leaving(List<BackendServer> servers) {
      return servers.stream().filter(server -> server.state() == State.LEAVING).count();
    }
  }

  /** Cache views. */
  public static final class Caches {

    private static CacheEvents events(CacheEvent... events) {
      return new CacheEvents(List.of(events));
    }

    /** Guards against a view that goes on after a gap as if nothing was missed. */
    @Test
    public void gapMakesTheViewUnknownUntilTheNextListing() {
      CacheFollower follower = new CacheFollower(new BackendServerId("a"));
      assertTrue(follower.needsListing());
      follower.take(new CacheListing(4, Set.of("p")));
      CacheChanged change =
          follower.take(
              events(new CacheEvent(4, Kind.REMOVED, "p"), new CacheEvent(5, Kind.STORED, "q")));
      assertEquals(change, new CacheChanged(new BackendServerId("a"), true, Set.of("q"), Set.of()));
      change = follower.take(events(new CacheEvent(7, Kind.STORED, "r")));
      assertEquals(change, new CacheChanged(new BackendServerId("a"), false, Set.of(), Set.of()));
      assertTrue(follower.needsListing());
      change = follower.take(new CacheListing(9, Set.of("q", "s")));
      assertEquals(
          change, new CacheChanged(new BackendServerId("a"), true, Set.of("q", "s"), Set.of()));
    }

    /** Guards against prefixes that stay after the engine dropped its whole cache. */
    @Test
    public void clearingRemovesEverything() {
      CacheFollower follower = new CacheFollower(new BackendServerId("a"));
      follower.take(new CacheListing(1, Set.of("p")));
      CacheChanged change =
          follower.take(
              events(
                  new CacheEvent(2, Kind.STORED, "q"),
                  new CacheEvent(3, Kind.CLEARED, ""),
                  new CacheEvent(4, Kind.STORED, "r")));
      assertEquals(
          change, new CacheChanged(new BackendServerId("a"), true, Set.of("r"), Set.of("p", "q")));
    }
  }
}
