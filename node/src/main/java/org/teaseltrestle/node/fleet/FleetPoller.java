package org.teaseltrestle.node.fleet;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.DaemonThreads;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.FleetSource;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.policy.FailureKind;

/** Makes the fleet duty's calls in the background, a bounded number concurrently. */
final class FleetPoller implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(FleetPoller.class);

  private static final int QUEUE_CAPACITY = 256;

  private final FleetSource fleetSource;
  private final EngineClient engines;
  private final ServiceClient services;
  private final MonotonicClock clock;
  private final Consumer<FleetDutyInput> results;
  private final ThreadPoolExecutor pool;

  FleetPoller(
      FleetSource fleetSource,
      EngineClient engines,
      ServiceClient services,
      MonotonicClock clock,
      int threads,
      Consumer<FleetDutyInput> results) {
    this.fleetSource = fleetSource;
    this.engines = engines;
    this.services = services;
    this.clock = clock;
    this.results = results;
    this.pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            0,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(QUEUE_CAPACITY),
            new DaemonThreads("fleet-poll"));
  }

  /** Reads the instance list; returns false if the call queue is full. */
  boolean readList() {
    return submit(
        () -> {
          try {
            results.accept(new FleetDutyInput.ListRead(fleetSource.readFleet()));
          } catch (RuntimeException e) {
            // Without a result the duty would never read the list again.
            LOG.warn(FleetEvent.INSTANCE_LIST_UNREADABLE, "reason", String.valueOf(e));
            results.accept(new FleetDutyInput.ListRead(null));
          }
        });
  }

  /** Reads a load report; returns false if the call queue is full. */
  boolean readLoad(ListedServer entry) {
    BackendServerId id = entry.server().id();
    String address = entry.server().address();
    return submit(
        () -> {
          long startedAtNanos = clock.nowNanos();
          @Nullable EngineLoad engine = null;
          @Nullable ServiceLoad service = null;
          @Nullable FailureKind failure = null;
          try {
            if (entry.kind() == ListedServer.Kind.ENGINE) {
              engine = engines.load(address);
            } else {
              service = services.load(address);
            }
          } catch (AttemptFailure e) {
            failure = e.kind();
            if (e.isForeignResponse() || failure == FailureKind.MALFORMED_ANSWER) {
              LOG.warn(FleetEvent.STATUS_UNREADABLE, "server", id, "reason", String.valueOf(e));
            }
          } catch (RuntimeException e) {
            LOG.warn(FleetEvent.STATUS_UNREADABLE, "server", id, "reason", String.valueOf(e));
            failure = FailureKind.ANSWER_MISMATCH;
          }
          results.accept(
              new FleetDutyInput.LoadRead(
                  id, startedAtNanos, clock.nowNanos(), engine, service, failure));
        });
  }

  /** Reads the cache listing or the next cache events; returns false if the call queue is full. */
  boolean readCache(ListedServer entry, PrefixCacheView view) {
    BackendServerId id = entry.server().id();
    String address = entry.server().address();
    boolean needsListing = view.needsListing();
    long after = view.sequence();
    return submit(
        () -> {
          @Nullable CacheEvents events = null;
          @Nullable CacheListing listing = null;
          try {
            if (needsListing) {
              listing = engines.cachePrefixes(address);
            } else {
              events = engines.cacheEvents(address, after);
            }
          } catch (TrestleException e) {
            // A result without events or listing reports the failure.
            events = null;
          } catch (RuntimeException e) {
            LOG.warn(FleetEvent.STATUS_UNREADABLE, "server", id, "reason", String.valueOf(e));
          }
          results.accept(new FleetDutyInput.CacheRead(id, events, listing));
        });
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }

  private boolean submit(Runnable call) {
    try {
      pool.execute(call);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }
}
