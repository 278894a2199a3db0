package org.teaseltrestle.node.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.node.port.PlatformInstances;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.LoadReport;

/**
 * Keeps the view of the backend servers that this instance uses, and tells the admission duty what
 * changes. All calls run in the background; this thread never waits for one.
 */
public final class FleetDuty implements ServerDirectory, AutoCloseable {

  private static final EventLog LOG = EventLog.of(FleetDuty.class);
  private static final int RING_CAPACITY = 1_024;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The complete fleet is repeated so that a report dropped at a full ring is made up for. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final FleetSettings settings;
  private final ControlGateway control;
  private final MonotonicClock clock;
  private final Predicate<AdmissionEvent> admission;
  private final FleetPoller poller;
  private final DutyThread<FleetItem> thread;
  private final ServerMarks marks;
  private final FleetAnnouncement announcement;
  private final Map<BackendServerId, WatchedServer> watched = new HashMap<>();
  private final Map<BackendServerId, BackendServer> known = new ConcurrentHashMap<>();
  private final Map<PoolId, Integer> pieceTokens = new ConcurrentHashMap<>();
  private List<ListedServer> listed = List.of();
  private List<BackendServer> announced = List.of();
  private boolean listRunning;
  private boolean listEverRead;
  private long nextListNanos;
  private long nextRepeatNanos;

  /**
   * Creates the duty; {@link #start()} starts its thread.
   *
   * @param admission takes events without waiting, and returns false if it cannot
   */
  public FleetDuty(
      FleetSettings settings,
      ControlGateway control,
      PlatformInstances platform,
      EngineClient engines,
      ServiceClient services,
      MonotonicClock clock,
      Predicate<AdmissionEvent> admission) {
    this.settings = settings;
    this.control = control;
    this.clock = clock;
    this.marks = new ServerMarks(settings.longestEjection().toNanos());
    this.announcement = new FleetAnnouncement(marks);
    this.admission = admission;
    this.thread =
        new DutyThread<>("fleet", RING_CAPACITY, this::handle, this::tick, TICK_NANOS, clock);
    this.poller =
        new FleetPoller(platform, engines, services, clock, settings.pollThreads(), thread::offer);
    this.nextListNanos = clock.nowNanos();
    this.nextRepeatNanos = clock.nowNanos();
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  @Override
  public @Nullable BackendServer find(BackendServerId server) {
    return known.get(server);
  }

  @Override
  public void reportLeaving(BackendServerId server) {
    thread.offer(new FleetItem.Leaving(server));
  }

  @Override
  public void reportLost(BackendServerId server) {
    thread.offer(new FleetItem.Lost(server));
  }

  @Override
  public int pieceTokens(PoolId pool) {
    return pieceTokens.getOrDefault(pool, 0);
  }

  @Override
  public void close() {
    poller.close();
    thread.close();
  }

  private void tick(long nowNanos) {
    if (!listRunning && nowNanos - nextListNanos >= 0) {
      nextListNanos = nowNanos + settings.listInterval().toNanos();
      listRunning = poller.readList();
    }
    for (WatchedServer server : watched.values()) {
      poll(server, nowNanos);
    }
    if (marks.expire(nowNanos)) {
      announcement.marksChanged();
    }
    announce(nowNanos);
  }

  private void poll(WatchedServer server, long nowNanos) {
    if (settings.polls().contains(FleetSettings.Poll.LOAD)
        && !server.loadRunning
        && nowNanos - server.nextLoadNanos >= 0) {
      server.nextLoadNanos = nowNanos + settings.loadInterval().toNanos();
      server.loadRunning = poller.readLoad(server.entry);
    }
    if (settings.polls().contains(FleetSettings.Poll.CACHE)
        && server.isEngine()
        && !server.cacheRunning
        && nowNanos - server.nextCacheNanos >= 0) {
      server.nextCacheNanos = nowNanos + settings.cacheInterval().toNanos();
      server.cacheRunning = poller.readCache(server.entry, server.cache);
    }
  }

  private void handle(FleetItem item) {
    long nowNanos = clock.nowNanos();
    if (item instanceof FleetItem.ListRead read) {
      listRunning = false;
      takeList(read.servers(), nowNanos);
    } else if (item instanceof FleetItem.LoadRead read) {
      takeLoad(read, nowNanos);
    } else if (item instanceof FleetItem.CacheRead read) {
      takeCache(read);
    } else if (item instanceof FleetItem.Leaving leaving) {
      markLeaving(leaving.server(), nowNanos);
    } else if (item instanceof FleetItem.Lost lost) {
      markLost(lost.server(), nowNanos);
    }
    announce(nowNanos);
  }

  /**
   * Without any list of the platform since the start, the committed fleet stands in for it.
   * Choosing a subset sorts the whole list, so the same list again changes nothing.
   */
  private void takeList(@Nullable List<ListedServer> servers, long nowNanos) {
    List<ListedServer> before = listed;
    if (servers != null) {
      listEverRead = true;
      listed = servers;
    } else if (!listEverRead) {
      listed = CommittedFleet.of(control.view().backendServers());
    }
    if (listed.equals(before)) {
      return;
    }
    List<ListedServer> subset = Subset.choose(listed, settings);
    Map<BackendServerId, ListedServer> current = new HashMap<>();
    subset.forEach(entry -> current.put(entry.server().id(), entry));
    watched.keySet().retainAll(current.keySet());
    current.forEach(
        (id, entry) ->
            watched.computeIfAbsent(id, added -> new WatchedServer(entry, nowNanos)).entry = entry);
    announcement.use(current.values());
  }

  private void takeLoad(FleetItem.LoadRead read, long nowNanos) {
    WatchedServer server = watched.get(read.server());
    if (server == null) {
      return;
    }
    server.loadRunning = false;
    if (server.isLost(read.failure())) {
      markLost(read.server(), nowNanos);
    }
    if (read.failure() != null) {
      return;
    }
    if (marks.answered(read.server(), read.begunAtNanos())) {
      LOG.info(FleetEvent.SERVER_RETURNED, "server", read.server());
      announcement.marksChanged();
    }
    EngineLoad engine = read.engine();
    ServiceLoad service = read.service();
    boolean leaving = engine != null ? engine.leaving() : service != null && service.leaving();
    if (leaving) {
      markLeaving(read.server(), nowNanos);
    }
    offer(new AdmissionEvent.LoadReported(report(read, engine, service)));
    if (engine != null && engine.pieceTokens() > 0) {
      pieceTokens.put(server.entry.server().pool(), engine.pieceTokens());
    }
  }

  private static LoadReport report(
      FleetItem.LoadRead read, @Nullable EngineLoad engine, @Nullable ServiceLoad service) {
    if (engine == null) {
      int running = service == null ? 0 : service.running();
      int waiting = service == null ? 0 : service.waiting();
      return new LoadReport(
          read.server(), read.begunAtNanos(), running, waiting, 0, 0, 0, 0, EngineRole.MIXED);
    }
    long age = (long) (engine.measuredSecondsAgo() * TimeUnit.SECONDS.toNanos(1));
    return new LoadReport(
        read.server(),
        read.endedAtNanos() - Math.max(0, age),
        engine.running(),
        engine.waiting(),
        engine.queuedPromptTokens(),
        engine.kvPiecesTotal(),
        engine.kvPiecesFree(),
        engine.pieceTokens(),
        engine.role());
  }

  private void takeCache(FleetItem.CacheRead read) {
    WatchedServer server = watched.get(read.server());
    if (server == null) {
      return;
    }
    server.cacheRunning = false;
    @Nullable AdmissionEvent change = null;
    if (read.listing() != null) {
      change = server.cache.take(read.listing());
    } else if (read.events() != null) {
      change = server.cache.take(read.events());
      if (server.cache.needsListing()) {
        LOG.info(FleetEvent.CACHE_GAP, "server", read.server());
        server.nextCacheNanos = clock.nowNanos();
      }
    } else {
      change = server.cache.forget();
    }
    if (change != null && !offer(change)) {
      // Changes build on each other, so a dropped one leaves the view unknown.
      server.cache.forget();
    }
  }

  private void markLeaving(BackendServerId server, long nowNanos) {
    if (marks.leaving(server, nowNanos)) {
      LOG.info(FleetEvent.SERVER_LEAVING, "server", server);
      announcement.marksChanged();
    }
  }

  private void markLost(BackendServerId server, long nowNanos) {
    if (marks.lost(server, nowNanos)) {
      LOG.info(FleetEvent.SERVER_EJECTED, "server", server);
      announcement.marksChanged();
    }
  }

  /** Hands the complete fleet to the admission duty when it has changed. */
  private void announce(long nowNanos) {
    List<BackendServer> current = announcement.servers(control.view().plannedChanges(), nowNanos);
    boolean changed = current != announced;
    if (!changed && nowNanos - nextRepeatNanos < 0) {
      return;
    }
    nextRepeatNanos = nowNanos + REPEAT_NANOS;
    Map<BackendServerId, BackendServer> now = new HashMap<>();
    current.forEach(server -> now.put(server.id(), server));
    known.putAll(now);
    known.keySet().retainAll(now.keySet());
    if (offer(new AdmissionEvent.FleetChanged(current))) {
      if (changed) {
        LOG.info(FleetEvent.FLEET_CHANGED, "servers", current.size());
      }
      announced = current;
    }
  }

  private boolean offer(AdmissionEvent event) {
    boolean taken = admission.test(event);
    if (!taken) {
      LOG.warn(FleetEvent.ADMISSION_EVENT_DROPPED, "event", event.getClass().getSimpleName());
    }
    return taken;
  }
}
