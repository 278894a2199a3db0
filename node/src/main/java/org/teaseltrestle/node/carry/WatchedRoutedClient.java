package org.teaseltrestle.node.carry;

import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.policy.ServerLinks;

/** Sends attempts over connections of this instance and records which of these succeed. */
public final class WatchedRoutedClient implements RoutedClient {

  private static final EventLog LOG = EventLog.of(WatchedRoutedClient.class);

  private final RoutedClient client;
  private final ServerLinks links;
  private final MonotonicClock clock;

  /** Creates a client that sends with another one. */
  public WatchedRoutedClient(RoutedClient client, ServerLinks links, MonotonicClock clock) {
    this.client = client;
    this.links = links;
    this.clock = clock;
  }

  @Override
  public ServiceResponse call(RoutedCall call) {
    try {
      ServiceResponse response = client.call(call);
      if (links.connected(call.address(), clock.nowNanos())) {
        LOG.info(CarryEvent.LINKS_SOUND, "server", call.address());
      }
      return response;
    } catch (AttemptFailure failure) {
      boolean connectionFailed =
          failure.kind() == FailureKind.CONNECT_FAILED
              || failure.kind() == FailureKind.LOST_BEFORE_ANSWER;
      if (connectionFailed
          && !call.handle().isCancelled()
          && links.failed(call.address(), clock.nowNanos())) {
        LOG.warn(
            CarryEvent.LINKS_LOST,
            "request",
            call.request(),
            "server",
            call.address(),
            "kind",
            failure.kind(),
            "reason",
            String.valueOf(failure.getMessage()));
      }
      throw failure;
    }
  }
}
