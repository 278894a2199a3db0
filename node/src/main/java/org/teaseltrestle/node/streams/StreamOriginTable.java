package org.teaseltrestle.node.streams;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.node.port.StreamOrigin;

/**
 * Origins of streams, each kept for a time after it was recorded last; if there are too many, the
 * oldest are forgotten. Safe for use by any thread.
 */
final class StreamOriginTable {

  private final int maximumStreams;
  private final long retentionNanos;

  /** Streams in the order in which they were recorded. */
  private final Map<String, Entry> streams = new LinkedHashMap<>();

  private record Entry(StreamOrigin origin, long forgottenAtNanos) {}

  StreamOriginTable(int maximumStreams, long retentionNanos) {
    this.maximumStreams = maximumStreams;
    this.retentionNanos = retentionNanos;
  }

  synchronized void record(String stream, StreamOrigin origin, long nowNanos) {
    streams.remove(stream);
    streams.put(stream, new Entry(origin, nowNanos + retentionNanos));
    Iterator<Entry> oldest = streams.values().iterator();
    while (oldest.hasNext() && mayForget(oldest.next(), nowNanos)) {
      oldest.remove();
    }
  }

  synchronized Optional<StreamOrigin> find(String stream, long nowNanos) {
    Entry entry = streams.get(stream);
    return entry == null || nowNanos - entry.forgottenAtNanos() >= 0
        ? Optional.empty()
        : Optional.of(entry.origin());
  }

  synchronized int size() {
    return streams.size();
  }

  private boolean mayForget(Entry oldest, long nowNanos) {
    return streams.size() > maximumStreams || nowNanos - oldest.forgottenAtNanos() >= 0;
  }
}
