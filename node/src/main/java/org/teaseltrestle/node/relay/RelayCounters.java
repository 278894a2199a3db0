package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.policy.FailureKind;

/** Counters of refusals, retries and failed attempts, registered for every possible value. */
final class RelayCounters {

  private final Map<RefusalCode, Counter> refusals = new EnumMap<>(RefusalCode.class);
  private final Map<FailureKind, Counter> retries = new EnumMap<>(FailureKind.class);
  private final Map<FailureKind, Counter> failures = new EnumMap<>(FailureKind.class);
  private final Counter resumed;
  private final Counter requests;
  private final Counter foreignResponses;

  RelayCounters(MetricRegistry metrics) {
    for (RefusalCode code : RefusalCode.values()) {
      refusals.put(code, metrics.counter("refusal." + code.wireName()));
    }
    for (FailureKind kind : FailureKind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      retries.put(kind, metrics.counter("retry." + name));
      failures.put(kind, metrics.counter("attempt_failed." + name));
    }
    resumed = metrics.counter("relay.resumed_streams");
    requests = metrics.counter("relay.requests");
    foreignResponses = metrics.counter("relay.responses_of_other_requests");
  }

  void requestRefused(RefusalCode code) {
    increment(refusals.get(code));
  }

  void attemptRetried(FailureKind reason) {
    increment(retries.get(reason));
  }

  void attemptFailed(FailureKind kind) {
    increment(failures.get(kind));
  }

  void streamResumed() {
    resumed.inc();
  }

  void foreignResponseReceived() {
    foreignResponses.inc();
  }

  void requestReceived() {
    requests.inc();
  }

  private static void increment(@Nullable Counter counter) {
    if (counter != null) {
      counter.inc();
    }
  }
}
