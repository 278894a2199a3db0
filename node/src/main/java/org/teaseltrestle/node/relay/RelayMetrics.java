package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Latency histograms of routed requests. */
final class RelayMetrics {

  private final Timer total;
  private final Timer firstByte;

  RelayMetrics(MetricRegistry metrics) {
    total = metrics.timer("relay.request_time");
    firstByte = metrics.timer("relay.first_byte_time");
  }

  /**
   * Counts a request that has ended.
   *
   * @param firstByteNanos time to the first byte of its answer, 0 if there was none
   */
  void ended(long totalNanos, long firstByteNanos) {
    total.update(totalNanos, TimeUnit.NANOSECONDS);
    if (firstByteNanos > 0) {
      firstByte.update(firstByteNanos, TimeUnit.NANOSECONDS);
    }
  }
}
