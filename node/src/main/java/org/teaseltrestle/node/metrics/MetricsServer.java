package org.teaseltrestle.node.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Serves counters, gauges and timers at {@code /metrics} as plain text. */
public final class MetricsServer implements AutoCloseable {

  private static final String PATH = "/metrics";
  private static final double NANOS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final Undertow undertow;

  /** Starts the server on an address. */
  public MetricsServer(InetSocketAddress address, MetricRegistry metrics) {
    undertow =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(
                exchange -> {
                  if (!exchange.getRequestPath().equals(PATH)) {
                    exchange.setStatusCode(404);
                    exchange.endExchange();
                    return;
                  }
                  exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
                  exchange.getResponseSender().send(format(metrics));
                })
            .build();
    undertow.start();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  /** Returns one line for each counter and gauge, and several lines for each timer. */
  static String format(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder();
    metrics
        .getCounters()
        .forEach((name, counter) -> appendLine(text, name, "", counter.getCount()));
    metrics.getGauges().forEach((name, gauge) -> appendLine(text, name, "", gauge.getValue()));
    metrics.getTimers().forEach((name, timer) -> appendTimer(text, name, timer));
    return text.toString();
  }

  private static void appendTimer(StringBuilder text, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    for (double quantile : QUANTILES) {
      appendLine(
          text,
          name + "_milliseconds",
          "{quantile=\"" + quantile + "\"}",
          snapshot.getValue(quantile) / NANOS_PER_MILLISECOND);
    }
    appendLine(text, name + "_milliseconds_max", "", snapshot.getMax() / NANOS_PER_MILLISECOND);
    appendLine(text, name + "_count", "", timer.getCount());
  }

  private static void appendLine(StringBuilder text, String name, String labels, Object value) {
    text.append(name.replace('.', '_')).append(labels).append(' ').append(value).append('\n');
  }
}
