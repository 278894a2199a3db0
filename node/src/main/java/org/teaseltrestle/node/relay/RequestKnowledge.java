package org.teaseltrestle.node.relay;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlView;

/**
 * What this instance knew of the committed state when a request arrived. Read before the views by
 * which the request is decided, so that these are at least as recent.
 *
 * @param asOfNanos monotonic time as of which all committed entries were known, empty if unknown
 * @param version version of what decides requests
 * @param arrivedAtNanos monotonic time of the arrival
 */
record RequestKnowledge(OptionalLong asOfNanos, long version, long arrivedAtNanos) {

  /** Returns what is known now. */
  static RequestKnowledge read(RelayContext context, CallerInterface callerInterface) {
    ControlGateway control = context.control();
    OptionalLong asOfNanos = control.knownAsOfNanos();
    ControlView view = control.view();
    return new RequestKnowledge(
        asOfNanos, callerInterface.version(view), context.clock().nowNanos());
  }

  /** Returns whether the knowledge was older than a limit; unknown is older than every limit. */
  boolean isOlderThan(Duration limit) {
    return asOfNanos.isEmpty() || arrivedAtNanos - asOfNanos.getAsLong() > limit.toNanos();
  }

  /** Returns the age of the knowledge in milliseconds for the log, or that it is unknown. */
  Object ageMillis() {
    return asOfNanos.isEmpty()
        ? "unknown"
        : TimeUnit.NANOSECONDS.toMillis(arrivedAtNanos - asOfNanos.getAsLong());
  }
}
