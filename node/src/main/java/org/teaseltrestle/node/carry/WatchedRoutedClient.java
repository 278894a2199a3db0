package org.teaseltrestle.node.carry;

import java.util.function.Function;
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

  /**
   * Returns a client that also records when anything arrives from a server.
   *
   * @param client creates the client that sends, from what it calls when something arrives
   */
  public static WatchedRoutedClient withArrivals(
      Function<Runnable, RoutedClient> client, ServerLinks links, MonotonicClock clock) {
    Runnable onArrival =
        () -> {
          if (links.arrived(clock.nowNanos())) {
            LOG.info(CarryEvent.LINKS_ALIVE);
          }
        };
    return new WatchedRoutedClient(client.apply(onArrival), links, clock);
  }

  @Override
  public ServiceResponse call(RoutedCall call) {
    long begunAtNanos = clock.nowNanos();
    try {
      ServiceResponse response = client.call(call);
      if (links.connected(call.address(), clock.nowNanos())) {
        LOG.info(CarryEvent.LINKS_SOUND, "server", call.address());
      }
      return response;
    } catch (AttemptFailure failure) {
      if (!call.handle().isCancelled()) {
        record(call, failure, begunAtNanos);
      }
      throw failure;
    }
  }

  private void record(RoutedCall call, AttemptFailure failure, long begunAtNanos) {
    ServerLinks.Finding finding = ServerLinks.Finding.NOTHING;
    if (failure.isConnectTimeout()) {
      finding = links.timedOut(call.address(), begunAtNanos, clock.nowNanos());
    } else if ((failure.kind() == FailureKind.CONNECT_FAILED
            || failure.kind() == FailureKind.LOST_BEFORE_ANSWER)
        && links.failed(call.address(), clock.nowNanos())) {
      finding = ServerLinks.Finding.LOST;
    }
    if (finding != ServerLinks.Finding.NOTHING) {
      LOG.warn(
          finding == ServerLinks.Finding.LOST ? CarryEvent.LINKS_LOST : CarryEvent.LINKS_FULL,
          "request",
          call.request(),
          "server",
          call.address(),
          "kind",
          failure.kind(),
          "reason",
          String.valueOf(failure.getMessage()));
    }
  }
}
