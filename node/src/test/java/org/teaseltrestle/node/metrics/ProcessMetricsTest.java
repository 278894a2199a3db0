package org.teaseltrestle.node.metrics;

import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.transport.NettyPeerTransport;
import org.teaseltrestle.transport.TransportConfiguration;
import org.testng.annotations.Test;

/** Guards against bytes between nodes that the metrics address does not show. */
public final class ProcessMetricsTest {

  @Test
  public void metricsPageShowsHeapAndBytesOfKindsThatAppearLater() throws Exception {
    TransportConfiguration configuration =
        TransportConfiguration.builder()
            .instance(new InstanceId("node"))
            .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .build();
    MetricRegistry metrics = new MetricRegistry();
    try (NettyPeerTransport transport =
        new NettyPeerTransport(configuration, MonotonicClock.SYSTEM)) {
      ProcessMetrics.register(metrics, transport.statistics());
      transport.register("follow", (message, reply) -> reply.accept(new byte[0]));
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      transport.call(transport.localAddress(), "follow", 3, new byte[100], deadline).get();
      String page = MetricsServer.format(metrics);
      assertTrue(page.contains("\ntransport_received_messages_follow_3 1\n"), page);
      assertTrue(page.contains("\ntransport_dropped_no_connection 0\n"), page);
      assertTrue(page.contains("\ntransport_waiting_bytes "), page);
      assertTrue(
          page.contains("heap_maximum_bytes " + Runtime.getRuntime().maxMemory() + "\n"), page);
    }
  }
}
