package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.node.port.UsageRecorder;

/** Keeps the latest records in this process only, for tests and for use without a partner. */
public final class LocalUsageRecorder implements UsageRecorder {

  private static final int MAXIMUM_RECORDS = 100_000;

  private final Deque<RequestUsage> records = new ArrayDeque<>();
  private final Counter dropped;

  /** Creates a recorder that counts the records it drops. */
  public LocalUsageRecorder(MetricRegistry metrics) {
    this.dropped = metrics.counter("usage.local_records_dropped");
  }

  @Override
  public synchronized void record(RequestUsage usage) {
    if (records.size() == MAXIMUM_RECORDS) {
      records.removeFirst();
      dropped.inc();
    }
    records.addLast(usage);
  }

  /** Removes and returns all records, oldest first. */
  public synchronized List<RequestUsage> drain() {
    List<RequestUsage> drained = new ArrayList<>(records);
    records.clear();
    return drained;
  }
}
