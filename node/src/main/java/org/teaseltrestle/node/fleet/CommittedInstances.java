package org.teaseltrestle.node.fleet;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.node.port.PlatformInstances;
import org.teaseltrestle.wire.BackendServerRecord;

/**
 * The committed fleet in place of the platform's list, so that the list is read once for all
 * instances. An instance that has not heard from the leader for a while reads the list itself.
 */
public final class CommittedInstances implements PlatformInstances {

  private static final EventLog LOG = EventLog.of(CommittedInstances.class);

  /**
   * Age of the last lease grant at which the committed fleet may be behind; grants come each
   * second.
   */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Time between two own reads; every instance may read, and the platform's rate is limited. */
  private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ControlGateway control;
  private final PlatformInstances platform;
  private final MonotonicClock clock;
  private final long keyLeaseNanos;
  private List<ListedServer> read = List.of();
  private Collection<BackendServerRecord> records = List.of();
  private List<ListedServer> committed = List.of();
  private long nextReadNanos;

  /**
   * Creates the source.
   *
   * @param keyLeaseNanos length of the key lease, from whose end the last grant's age follows
   */
  public CommittedInstances(
      ControlGateway control,
      PlatformInstances platform,
      MonotonicClock clock,
      long keyLeaseNanos) {
    this.control = control;
    this.platform = platform;
    this.clock = clock;
    this.keyLeaseNanos = keyLeaseNanos;
    this.nextReadNanos = clock.nowNanos();
  }

  @Override
  public synchronized List<ListedServer> instances() {
    long now = clock.nowNanos();
    long grantAgeNanos = now - (control.keyLeaseEndsAtNanos() - keyLeaseNanos);
    if (grantAgeNanos < SILENCE_NANOS) {
      read = List.of();
      return committed();
    }
    if (now - nextReadNanos >= 0) {
      nextReadNanos = now + READ_INTERVAL_NANOS;
      readPlatform(grantAgeNanos);
    }
    return read.isEmpty() ? committed() : read;
  }

  private void readPlatform(long grantAgeNanos) {
    try {
      read = platform.instances();
      LOG.info(
          FleetEvent.LIST_READ_WITHOUT_LEADER,
          "servers",
          read.size(),
          "grantAgeMillis",
          TimeUnit.NANOSECONDS.toMillis(grantAgeNanos));
    } catch (TrestleException e) {
      LOG.warn(FleetEvent.INSTANCE_LIST_UNREADABLE, "reason", String.valueOf(e.getMessage()));
    }
  }

  /** The records are decoded again only after a change; readers then see the same list again. */
  private List<ListedServer> committed() {
    Collection<BackendServerRecord> current = control.view().backendServers();
    if (current != records) {
      committed = List.copyOf(CommittedFleet.of(current));
      records = current;
    }
    return committed;
  }
}
