package org.teaseltrestle.node.fleet;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.FleetSource;
import org.teaseltrestle.node.port.ListedServer;
import org.teaseltrestle.wire.BackendServerRecord;

/**
 * Supplies the committed fleet in place of the platform's instance list, so that the list is read
 * once for all instances. An instance without recent lease grants of a leader reads the list
 * itself.
 */
public final class CommittedFleetSource implements FleetSource {

  private static final EventLog LOG = EventLog.of(CommittedFleetSource.class);

  /**
   * Age of the last lease grant from which on the committed fleet may be stale; a grant arrives
   * each second.
   */
  private static final long GRANT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /**
   * Time between two reads of the list; all instances may read, and the platform limits the rate.
   */
  private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ControlGateway control;
  private final FleetSource fleetSource;
  private final MonotonicClock clock;
  private final long keyLeaseNanos;
  private List<ListedServer> platformServers = List.of();
  private Collection<BackendServerRecord> committedRecords = List.of();
  private List<ListedServer> committedServers = List.of();
  private boolean committedWasRead;
  private long nextReadNanos;

  /**
   * Creates the source.
   *
   * @param keyLeaseNanos duration of the key lease, from which the last grant's age is computed
   */
  public CommittedFleetSource(
      ControlGateway control, FleetSource fleetSource, MonotonicClock clock, long keyLeaseNanos) {
    this.control = control;
    this.fleetSource = fleetSource;
    this.clock = clock;
    this.keyLeaseNanos = keyLeaseNanos;
    this.nextReadNanos = clock.nowNanos();
  }

  @Override
  public synchronized boolean isUnchanged() {
    return committedWasRead
        && grantAgeNanos(clock.nowNanos()) < GRANT_TIMEOUT_NANOS
        && control.view().backendServers() == committedRecords;
  }

  @Override
  public synchronized List<ListedServer> readFleet() {
    long now = clock.nowNanos();
    long grantAgeNanos = grantAgeNanos(now);
    committedWasRead = grantAgeNanos < GRANT_TIMEOUT_NANOS;
    if (committedWasRead) {
      platformServers = List.of();
      return committedServers();
    }
    if (now - nextReadNanos >= 0) {
      nextReadNanos = now + READ_INTERVAL_NANOS;
      readPlatform(grantAgeNanos);
    }
    return platformServers.isEmpty() ? committedServers() : platformServers;
  }

  private long grantAgeNanos(long now) {
    return now - (control.keyLeaseEndsAtNanos() - keyLeaseNanos);
  }

  private void readPlatform(long grantAgeNanos) {
    try {
      platformServers = fleetSource.readFleet();
      LOG.info(
          FleetEvent.LIST_READ_WITHOUT_LEADER,
          "servers",
          platformServers.size(),
          "grantAgeMillis",
          TimeUnit.NANOSECONDS.toMillis(grantAgeNanos));
    } catch (TrestleException e) {
      LOG.warn(FleetEvent.INSTANCE_LIST_UNREADABLE, "reason", String.valueOf(e.getMessage()));
    }
  }

  /**
   * Returns the committed fleet; decodes it only after a change, otherwise returns the same list.
   */
  private List<ListedServer> committedServers() {
    Collection<BackendServerRecord> current = control.view().backendServers();
    if (current != committedRecords) {
      committedServers = List.copyOf(CommittedFleet.of(current));
      committedRecords = current;
    }
    return committedServers;
  }
}
