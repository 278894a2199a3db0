package org.teaseltrestle.node.relay;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.model.serving.ServingRoute;
import org.teaseltrestle.node.port.IncomingRequest;
import org.teaseltrestle.node.port.StreamLookup;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.node.port.StreamOrigins;

/**
 * Decides where a stream that a caller takes up may go on: at the software version that began it.
 * If that is unknown, the stream goes on only if its pool has had one version for as long as a
 * stream may last. An instance that is out of step cannot know that: neither if its knowledge of
 * the fleet is old, nor if those that may know the stream did not answer.
 */
final class ResumedStreams {

  private static final EventLog LOG = EventLog.of(ResumedStreams.class);

  /** Time for which a stream may be taken up after the version that began it has left. */
  private static final long STREAM_MILLIS = TimeUnit.MINUTES.toMillis(5);

  private final RelayContext context;
  private final StreamOrigins origins;

  ResumedStreams(RelayContext context, StreamOrigins origins) {
    this.context = context;
    this.origins = origins;
  }

  /**
   * Returns the name under which the stream of a request is known at all instances, null if the
   * caller gave none. It names the request that brought the first event, and is confined to the
   * account, so that no caller can name the stream of another.
   */
  static @Nullable String name(IncomingRequest incoming, @Nullable ClientAccount account) {
    String first = isTakenUp(incoming) ? incoming.resumedRequestId() : incoming.callerRequestId();
    return first == null || !Identifiers.isValid(first)
        ? null
        : (account == null ? "" : account.value()) + "/" + first;
  }

  /**
   * Returns the origin at which the stream of a request must go on, null if the request begins a
   * stream or has none that may be resumed.
   *
   * @param pool pool that would serve a request that begins a stream
   * @throws RefusalException if it is unknown which of several versions began the stream
   */
  @Nullable StreamOrigin originOf(
      RequestId id,
      ServingRoute route,
      IncomingRequest incoming,
      @Nullable ClientAccount account,
      PoolId pool,
      long deadlineNanos) {
    boolean resumable = route.kind() == ServingRoute.Kind.STREAM && route.allowsReexecution();
    if (!resumable || !isTakenUp(incoming)) {
      return null;
    }
    String stream = name(incoming, account);
    boolean inStep = knowsFleet();
    StreamLookup lookup =
        stream == null ? StreamLookup.unknown(true) : origins.find(stream, deadlineNanos);
    StreamOrigin known = lookup.origin();
    if (known != null && serves(route, known.pool())) {
      log(id, stream, known, "known");
      return known;
    }
    if (!inStep || !lookup.conclusive()) {
      log(id, stream, null, inStep ? "no_answer" : "knowledge_old");
      throw new RefusalException(
          RefusalCode.STREAM_ORIGIN_UNKNOWN,
          "it is unknown which software version began the stream, and this instance may not know"
              + " all versions");
    }
    Set<String> versions = versions(pool);
    if (versions.size() > 1) {
      log(id, stream, null, versions.toString());
      throw new RefusalException(
          RefusalCode.STREAM_ORIGIN_UNKNOWN,
          "it is unknown which software version began the stream, and servers have or had several: "
              + versions);
    }
    StreamOrigin only =
        versions.isEmpty() ? null : new StreamOrigin(pool, versions.iterator().next());
    log(id, stream, only, "only_version");
    return only;
  }

  private static boolean isTakenUp(IncomingRequest incoming) {
    String lastEventId = incoming.lastEventId();
    return lastEventId != null && !lastEventId.isEmpty();
  }

  private static boolean serves(ServingRoute route, PoolId pool) {
    return route.weightedPools().stream().anyMatch(each -> each.pool().equals(pool));
  }

  /** Returns whether this instance knew the fleet of a moment ago when the request arrived. */
  private boolean knowsFleet() {
    OptionalLong knownAsOf = context.control().knownAsOfNanos();
    long limitNanos = context.settings().maximumKnowledgeAge().toNanos();
    return knownAsOf.isPresent()
        && context.clock().nowNanos() - knownAsOf.getAsLong() <= limitNanos;
  }

  /** Returns the versions of a pool that are listed now or may have begun a stream that goes on. */
  private Set<String> versions(PoolId pool) {
    long since = context.wallClock().nowMillis() - STREAM_MILLIS;
    Set<String> versions = new HashSet<>(context.directory().softwareVersions(pool));
    context.control().view().leftSoftwareVersions().stream()
        .filter(each -> each.getPool().equals(pool.value()) && each.getLeftAtMillis() >= since)
        .forEach(each -> versions.add(each.getSoftwareVersion()));
    return versions;
  }

  private static void log(
      RequestId id, @Nullable String stream, @Nullable StreamOrigin origin, String basis) {
    LOG.info(
        RelayEvent.STREAM_RESUMED,
        "request",
        id,
        "stream",
        stream,
        "origin",
        origin,
        "basis",
        basis);
  }
}
