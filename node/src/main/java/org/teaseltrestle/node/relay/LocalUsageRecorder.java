package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseltrestle.node.port.CompletedAnswer;
import org.teaseltrestle.node.port.UsageRecorder;

/** Keeps the newest records in this process only; for tests and for use without a partner. */
public final class LocalUsageRecorder implements UsageRecorder {

  private static final int MAXIMUM_RECORDS = 100_000;

  private final Deque<CompletedAnswer> records = new ArrayDeque<>();
  private final Counter dropped;

  /** Creates a recorder; records that it forgets are counted. */
  public LocalUsageRecorder(MetricRegistry metrics) {
    this.dropped = metrics.counter("usage.local_records_dropped");
  }

  @Override
  public synchronized void record(CompletedAnswer answer) {
    if (records.size() == MAXIMUM_RECORDS) {
      records.removeFirst();
      dropped.inc();
    }
    records.addLast(answer);
  }

  /** Returns the records and forgets them. */
  public synchronized List<CompletedAnswer> take() {
    List<CompletedAnswer> taken = new ArrayList<>(records);
    records.clear();
    return taken;
  }
}
