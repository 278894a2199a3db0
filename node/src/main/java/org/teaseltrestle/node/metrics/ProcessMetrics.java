package org.teaseltrestle.node.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.teaseltrestle.transport.DropReason;
import org.teaseltrestle.transport.MessageStatistics;
import org.teaseltrestle.transport.TransportStatistics;

/** Gauges of what a process exchanges with other processes and of the memory that it uses. */
public final class ProcessMetrics {

  private ProcessMetrics() {}

  /** Registers the gauges of the heap and of a transport. */
  public static void register(MetricRegistry metrics, TransportStatistics transport) {
    Runtime runtime = Runtime.getRuntime();
    gauge(metrics, "heap.used_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
    gauge(metrics, "heap.maximum_bytes", runtime::maxMemory);
    gauge(metrics, "transport.direct_buffer_bytes", transport::directBufferBytes);
    gauge(metrics, "transport.waiting_bytes", transport::waitingBytes);
    gauge(metrics, "transport.largest_waiting_bytes", transport::largestWaitingBytes);
    for (DropReason reason : DropReason.values()) {
      gauge(
          metrics,
          "transport.dropped." + reason.name().toLowerCase(Locale.ROOT),
          () -> transport.dropped(reason));
    }
    transport.forEachKind(kind -> register(metrics, kind));
  }

  private static void register(MetricRegistry metrics, MessageStatistics kind) {
    String name = "." + kind.name();
    gauge(metrics, "transport.sent_messages" + name, kind::sentMessages);
    gauge(metrics, "transport.sent_bytes" + name, kind::sentBytes);
    gauge(metrics, "transport.received_messages" + name, kind::receivedMessages);
    gauge(metrics, "transport.received_bytes" + name, kind::receivedBytes);
    gauge(metrics, "transport.dropped_messages" + name, kind::droppedMessages);
  }

  private static void gauge(MetricRegistry metrics, String name, Gauge<Long> gauge) {
    metrics.registerGauge(name, gauge);
  }
}
