package org.teaseltrestle.node.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.FleetSource;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.node.port.ServerDirectory;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.BackendServer;
import org.teaseltrestle.policy.EngineRole;
import org.teaseltrestle.policy.LoadReport;

/**
 * Maintains the view of the backend servers that this instance uses and notifies the admission duty
 * of changes. All calls run in the background; the duty's thread never waits for one.
 */
public final class FleetDuty implements ServerDirectory, AutoCloseable {

  private static final EventLog LOG = EventLog.of(FleetDuty.class);
  private static final int RING_CAPACITY = 1_024;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Interval of repeating the complete fleet, in case the admission duty's full ring dropped it.
   */
  private static final long ANNOUNCEMENT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final FleetSettings settings;
  private final ControlGateway control;
  private final MonotonicClock clock;
  private final Predicate<AdmissionEvent> admission;
  private final FleetSource fleetSource;
  private final FleetPoller poller;
  private final DutyThread<FleetDutyInput> thread;
  private final ServerObservations observations;
  private final FleetAnnouncement announcement;
  private final Map<BackendServerId, WatchedServer> watched = new HashMap<>();
  private final Map<BackendServerId, BackendServer> serversById = new ConcurrentHashMap<>();
  private final Map<PoolId, Integer> pieceTokens = new ConcurrentHashMap<>();
  private List<ListedServer> listed = List.of();
  private List<BackendServer> announced = List.of();
  private boolean listReadRunning;
  private boolean listReadOnce;
  private volatile boolean known;
  private long nextListNanos;
  private long nextAnnouncementNanos;

  /**
   * Creates the duty; {@link #start()} starts its thread.
   *
   * @param admission accepts events without blocking, and returns false if it drops one
   */
  public FleetDuty(
      FleetSettings settings,
      ControlGateway control,
      FleetSource fleetSource,
      EngineClient engines,
      ServiceClient services,
      MonotonicClock clock,
      Predicate<AdmissionEvent> admission) {
    this.settings = settings;
    this.control = control;
    this.clock = clock;
    this.observations = new ServerObservations(settings.maximumEjection().toNanos());
    this.announcement = new FleetAnnouncement(observations);
    this.admission = admission;
    this.thread =
        new DutyThread<>(
            "fleet", RING_CAPACITY, this::handle, this::tick, this::nextTickNanos, clock);
    this.fleetSource = fleetSource;
    this.poller =
        new FleetPoller(
            fleetSource, engines, services, clock, settings.pollThreads(), thread::offer);
    this.nextListNanos = clock.nowNanos();
    this.nextAnnouncementNanos = clock.nowNanos();
  }

  /** Starts the duty thread. */
  public void start() {
    thread.start();
  }

  /** Returns whether the admission duty has been told of a fleet that was read. */
  @Override
  public boolean isKnown() {
    return known;
  }

  @Override
  public @Nullable BackendServer find(BackendServerId server) {
    return serversById.get(server);
  }

  @Override
  public Set<String> softwareVersions(PoolId pool) {
    return serversById.values().stream()
        .filter(server -> server.pool().equals(pool))
        .map(BackendServer::softwareVersion)
        .collect(Collectors.toSet());
  }

  @Override
  public void reportLeaving(BackendServerId server) {
    thread.offer(new FleetDutyInput.LeavingReported(server));
  }

  @Override
  public void reportLost(BackendServerId server) {
    thread.offer(new FleetDutyInput.ConnectionLost(server));
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

  /** Servers are polled at the fixed interval; without polls, only the list is due regularly. */
  private long nextTickNanos(long lastTickNanos) {
    return lastTickNanos
        + (settings.polls().isEmpty() ? settings.listInterval().toNanos() : TICK_NANOS);
  }

  private void tick(long nowNanos) {
    if (!listReadRunning && nowNanos - nextListNanos >= 0) {
      nextListNanos = nowNanos + settings.listInterval().toNanos();
      listReadRunning = !fleetSource.isUnchanged() && poller.readList();
    }
    for (WatchedServer server : watched.values()) {
      poll(server, nowNanos);
    }
    if (observations.expire(nowNanos)) {
      announcement.observationsChanged();
    }
    announce(nowNanos);
  }

  private void poll(WatchedServer server, long nowNanos) {
    if (settings.polls().contains(FleetSettings.Poll.LOAD)
        && !server.loadReadRunning
        && nowNanos - server.nextLoadNanos >= 0) {
      server.nextLoadNanos = nowNanos + settings.loadInterval().toNanos();
      server.loadReadRunning = poller.readLoad(server.entry);
    }
    if (settings.polls().contains(FleetSettings.Poll.CACHE)
        && server.isEngine()
        && !server.cacheReadRunning
        && nowNanos - server.nextCacheNanos >= 0) {
      server.nextCacheNanos = nowNanos + settings.cacheInterval().toNanos();
      server.cacheReadRunning = poller.readCache(server.entry, server.cache);
    }
  }

  private void handle(FleetDutyInput item) {
    long nowNanos = clock.nowNanos();
    if (item instanceof FleetDutyInput.ListRead read) {
      listReadRunning = false;
      onListRead(read.servers(), nowNanos);
    } else if (item instanceof FleetDutyInput.LoadRead read) {
      onLoadRead(read, nowNanos);
    } else if (item instanceof FleetDutyInput.CacheRead read) {
      onCacheRead(read);
    } else if (item instanceof FleetDutyInput.LeavingReported leaving) {
      markLeaving(leaving.server(), nowNanos);
    } else if (item instanceof FleetDutyInput.ConnectionLost lost) {
      markLost(lost.server(), nowNanos);
    }
    announce(nowNanos);
  }

  /**
   * Takes the committed fleet if the platform's list has never been read since the start. An
   * unchanged list is ignored, because selecting the subset sorts the entire list.
   */
  private void onListRead(@Nullable List<ListedServer> servers, long nowNanos) {
    List<ListedServer> previous = listed;
    if (servers != null) {
      listReadOnce = true;
      listed = servers;
    } else if (!listReadOnce) {
      listed = CommittedFleet.of(control.view().backendServers());
    }
    if (listed.equals(previous)) {
      return;
    }
    List<ListedServer> subset = Subset.choose(listed, settings);
    Map<BackendServerId, ListedServer> current = new HashMap<>();
    subset.forEach(entry -> current.put(entry.server().id(), entry));
    watched.keySet().retainAll(current.keySet());
    current.forEach(
        (id, entry) ->
            watched.computeIfAbsent(id, added -> new WatchedServer(entry, nowNanos)).entry = entry);
    announcement.setSubset(current.values());
  }

  private void onLoadRead(FleetDutyInput.LoadRead read, long nowNanos) {
    WatchedServer server = watched.get(read.server());
    if (server == null) {
      return;
    }
    server.loadReadRunning = false;
    if (server.recordLoadResult(read.failure())) {
      markLost(read.server(), nowNanos);
    }
    if (read.failure() != null) {
      return;
    }
    if (observations.recordResponse(read.server(), read.startedAtNanos())) {
      LOG.info(FleetEvent.SERVER_RETURNED, "server", read.server());
      announcement.observationsChanged();
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
      FleetDutyInput.LoadRead read, @Nullable EngineLoad engine, @Nullable ServiceLoad service) {
    if (engine == null) {
      int running = service == null ? 0 : service.running();
      int waiting = service == null ? 0 : service.waiting();
      return new LoadReport(
          read.server(), read.startedAtNanos(), running, waiting, 0, 0, 0, 0, EngineRole.MIXED);
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

  private void onCacheRead(FleetDutyInput.CacheRead read) {
    WatchedServer server = watched.get(read.server());
    if (server == null) {
      return;
    }
    server.cacheReadRunning = false;
    @Nullable AdmissionEvent change = null;
    if (read.listing() != null) {
      change = server.cache.apply(read.listing());
    } else if (read.events() != null) {
      change = server.cache.apply(read.events());
      if (server.cache.needsListing()) {
        LOG.info(FleetEvent.CACHE_GAP, "server", read.server());
        server.nextCacheNanos = clock.nowNanos();
      }
    } else {
      change = server.cache.invalidate();
    }
    if (change != null && !offer(change)) {
      // Changes are incremental, so the view is unknown after one was dropped.
      server.cache.invalidate();
    }
  }

  private void markLeaving(BackendServerId server, long nowNanos) {
    if (observations.markLeaving(server, nowNanos)) {
      LOG.info(FleetEvent.SERVER_LEAVING, "server", server);
      announcement.observationsChanged();
    }
  }

  private void markLost(BackendServerId server, long nowNanos) {
    if (observations.markLost(server, nowNanos)) {
      LOG.info(FleetEvent.SERVER_EJECTED, "server", server);
      announcement.observationsChanged();
    }
  }

  /** Sends the complete fleet to the admission duty if it has changed or its repetition is due. */
  private void announce(long nowNanos) {
    List<BackendServer> current = announcement.servers(control.view().plannedChanges(), nowNanos);
    boolean changed = current != announced;
    if (!changed && nowNanos - nextAnnouncementNanos < 0) {
      return;
    }
    nextAnnouncementNanos = nowNanos + ANNOUNCEMENT_INTERVAL_NANOS;
    Map<BackendServerId, BackendServer> now = new HashMap<>();
    current.forEach(server -> now.put(server.id(), server));
    serversById.putAll(now);
    serversById.keySet().retainAll(now.keySet());
    if (offer(new AdmissionEvent.FleetChanged(current))) {
      if (changed) {
        LOG.info(FleetEvent.FLEET_CHANGED, "servers", current.size());
      }
      announced = current;
      known = known || listReadOnce || !listed.isEmpty();
    }
  }

  private boolean offer(AdmissionEvent event) {
    boolean accepted = admission.test(event);
    if (!accepted) {
      LOG.warn(FleetEvent.ADMISSION_EVENT_DROPPED, "event", event.getClass().getSimpleName());
    }
    return accepted;
  }
}
