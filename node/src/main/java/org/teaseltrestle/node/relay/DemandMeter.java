package org.teaseltrestle.node.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;

/**
 * Admission decisions that also measure what each client account asks for, refused requests
 * included, as tokens a second over the last few seconds.
 */
public final class DemandMeter implements AdmissionDecisions {

  // Long enough to smooth single requests, short enough to follow a swing within seconds.
  private static final double DECAY_SECONDS = 3;

  // One request of 300 tokens falls below this after 14 s. At 0.01 it would be reported for 28 s,
  // and an instance of the target size would report 460 accounts each second in place of 260.
  private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 1;

  private final AdmissionDecisions decisions;
  private final MonotonicClock clock;
  private final Map<ClientAccount, Rate> rates = new HashMap<>();

  /** Creates a meter in front of the decisions. */
  public DemandMeter(AdmissionDecisions decisions, MonotonicClock clock) {
    this.decisions = decisions;
    this.clock = clock;
  }

  @Override
  public List<AdmissionAction> handle(AdmissionEvent event, long nowNanos) {
    if (event instanceof AdmissionEvent.RequestArrived arrived) {
      int tokens = arrived.work().promptTokens() + arrived.work().expectedOutputTokens();
      add(arrived.work().account(), Math.max(1, tokens), nowNanos);
    }
    return decisions.handle(event, nowNanos);
  }

  /** Returns the present demand in tokens a second; safe for use by any thread. */
  public Map<ClientAccount, Double> tokensPerSecond() {
    long now = clock.nowNanos();
    synchronized (rates) {
      rates.values().removeIf(rate -> rate.at(now) < NEGLIGIBLE_TOKENS_PER_SECOND);
      Map<ClientAccount, Double> result = new HashMap<>();
      rates.forEach((account, rate) -> result.put(account, rate.at(now)));
      return result;
    }
  }

  private void add(ClientAccount account, int tokens, long nowNanos) {
    synchronized (rates) {
      rates.merge(
          account,
          new Rate(tokens / DECAY_SECONDS, nowNanos),
          (old, added) -> new Rate(old.at(nowNanos) + added.perSecond, nowNanos));
    }
  }

  private record Rate(double perSecond, long atNanos) {
    double at(long nowNanos) {
      double seconds = (double) (nowNanos - atNanos) / TimeUnit.SECONDS.toNanos(1);
      return perSecond * Math.exp(-seconds / DECAY_SECONDS);
    }
  }
}
