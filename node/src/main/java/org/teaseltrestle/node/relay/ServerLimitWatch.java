package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.StatedLimit;
import org.teaseltrestle.policy.AdmissionEvent.ServerLimitNamed;

/**
 * Passes the limits that responses name to the decisions, and of the responses without a limit only
 * those that could end one, so that servers without a limit cost no events. Safe for use by any
 * thread.
 *
 * <p>No end of a limit is missed. The decisions learn a limit from an event of this class, or from
 * the committed log after {@link #setShared}. A server is watched from before either, and after an
 * event until a response without a limit has been passed on whose request was sent after the
 * decisions had handled the event.
 */
final class ServerLimitWatch {

  private static final EventLog LOG = EventLog.of(ServerLimitWatch.class);

  /** Time for which a server is watched at least after it named a limit. */
  static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final MonotonicClock clock;
  private final Predicate<ServerLimitNamed> submit;
  private final Map<BackendServerId, Named> named = new ConcurrentHashMap<>();
  private final Counter limitsNamed;
  private final Counter limitsChanged;
  private final Counter limitsEnded;
  private final Counter unusableValues;
  private volatile Set<BackendServerId> shared = Set.of();

  /**
   * What the responses of a server named.
   *
   * @param limit empty if the limit has ended
   * @param atNanos monotonic time at which the decisions knew the latest one, or could have
   */
  private record Named(OptionalDouble limit, long atNanos) {}

  /**
   * Creates a watch of no server.
   *
   * @param submit passes an event to the decisions; returns whether they will handle it
   */
  ServerLimitWatch(
      MonotonicClock clock, MetricRegistry metrics, Predicate<ServerLimitNamed> submit) {
    this.clock = clock;
    this.submit = submit;
    this.limitsNamed = metrics.counter("server_limits.named");
    this.limitsChanged = metrics.counter("server_limits.changed");
    this.limitsEnded = metrics.counter("server_limits.ended");
    this.unusableValues = metrics.counter("server_limits.unusable");
  }

  /** Returns a limit as it is logged. */
  static String text(OptionalDouble limit) {
    return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
  }

  /**
   * Evaluates what a response says.
   *
   * @param request request that the server responded to
   * @param sentAtNanos monotonic time at which the request was sent
   */
  void evaluate(RequestId request, BackendServerId server, StatedLimit stated, long sentAtNanos) {
    if (stated instanceof StatedLimit.Limit limit) {
      recordLimit(request, server, limit.requestsPerSecond(), sentAtNanos);
    } else if (stated instanceof StatedLimit.None) {
      recordNone(request, server, sentAtNanos);
    } else {
      unusableValues.inc();
    }
  }

  /** Sets the servers with limits that instances have passed on, before the decisions know them. */
  void setShared(Set<BackendServerId> servers) {
    shared = servers;
  }

  /** Records that the decisions have handled an event of this watch. */
  void handled(ServerLimitNamed event) {
    if (event.requestsPerSecond().isPresent()) {
      long now = clock.nowNanos();
      named.merge(
          event.server(),
          new Named(event.requestsPerSecond(), now),
          (known, handled) -> new Named(known.limit(), now));
    }
  }

  /** Forgets all servers but those that are listed. */
  void retain(Collection<BackendServerId> listed) {
    named.keySet().retainAll(listed);
  }

  private void recordLimit(
      RequestId request, BackendServerId server, double requestsPerSecond, long sentAtNanos) {
    OptionalDouble limit = OptionalDouble.of(requestsPerSecond);
    Named before = named.put(server, new Named(limit, clock.nowNanos()));
    if (before == null || before.limit().isEmpty()) {
      limitsNamed.inc();
      log(RelayEvent.SERVER_LIMIT_NAMED, request, server, limit);
    } else if (!before.limit().equals(limit)) {
      limitsChanged.inc();
      log(RelayEvent.SERVER_LIMIT_CHANGED, request, server, limit);
    }
    var unused = submit.test(new ServerLimitNamed(server, limit, sentAtNanos));
  }

  private void recordNone(RequestId request, BackendServerId server, long sentAtNanos) {
    Named before = named.get(server);
    boolean isWatched = before != null || shared.contains(server);
    if (!isWatched
        || !submit.test(new ServerLimitNamed(server, OptionalDouble.empty(), sentAtNanos))) {
      return;
    }
    if (before == null || sentAtNanos - before.atNanos() < 0) {
      return;
    }
    boolean isOld = sentAtNanos - before.atNanos() >= RETENTION_NANOS;
    boolean isChanged =
        isOld
            ? named.remove(server, before)
            : named.replace(server, before, new Named(OptionalDouble.empty(), before.atNanos()));
    if (isChanged && before.limit().isPresent()) {
      limitsEnded.inc();
      log(RelayEvent.SERVER_LIMIT_ENDED, request, server, before.limit());
    }
  }

  private static void log(
      RelayEvent event, RequestId request, BackendServerId server, OptionalDouble limit) {
    LOG.info(event, "server", server, "requestsPerSecond", text(limit), "request", request);
  }
}
