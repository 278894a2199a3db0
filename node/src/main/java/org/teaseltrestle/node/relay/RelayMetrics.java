package org.teaseltrestle.node.relay;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Latency histograms of routed requests. */
final class RelayMetrics {

  private final Timer requestTime;
  private final Timer firstByte;

  RelayMetrics(MetricRegistry metrics) {
    requestTime = metrics.timer("relay.request_time");
    firstByte = metrics.timer("relay.first_byte_time");
  }

  /**
   * Records a request that has ended.
   *
   * @param firstByteNanos time to the first byte of its response, 0 if there was none
   */
  void requestEnded(long totalNanos, long firstByteNanos) {
    requestTime.update(totalNanos, TimeUnit.NANOSECONDS);
    if (firstByteNanos > 0) {
      firstByte.update(firstByteNanos, TimeUnit.NANOSECONDS);
    }
  }
}
