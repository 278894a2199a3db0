package org.teaseltrestle.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.node.replica.DemandSource;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;
import org.teaseltrestle.policy.PlanLimits;
import org.teaseltrestle.policy.PlanLimits.CheapCapacity;
import org.teaseltrestle.policy.WorkRequest;
import org.teaseltrestle.policy.WorkRequest.WorkKind;
import org.teaseltrestle.wire.PoolDemand;

/**
 * Admission decisions that also measure the demand on this node by client account and by pool,
 * refused requests included, over the last few seconds.
 */
public final class DemandMeter implements AdmissionDecisions, DemandSource {

  // Long enough to smooth single requests, short enough to follow a change within seconds.
  private static final double DECAY_SECONDS = 3;
  private static final double NEGLIGIBLE_POOL_TOKENS_PER_SECOND = 0.01;

  // A request of 300 tokens falls below this after 14 s, with 1% of it not yet reported. At 0.01 an
  // instance of the target size would report 460 accounts a second instead of 260.
  private static final double NEGLIGIBLE_ACCOUNT_TOKENS_PER_SECOND = 1;

  private final AdmissionDecisions decisions;
  private final MonotonicClock clock;
  private final Map<ClientAccount, Rate> accounts = new HashMap<>();
  private final Map<PoolId, PoolRates> pools = new HashMap<>();
  private Map<ClientAccount, PlanLimits> limits = Map.of();

  /** Creates a meter that measures events before it passes them to the decisions. */
  public DemandMeter(AdmissionDecisions decisions, MonotonicClock clock) {
    this.decisions = decisions;
    this.clock = clock;
  }

  @Override
  public List<AdmissionAction> handle(AdmissionEvent event, long nowNanos) {
    if (event instanceof AdmissionEvent.RequestArrived arrived) {
      measure(arrived.work(), nowNanos);
    } else if (event instanceof AdmissionEvent.ListsChanged changed) {
      limits = changed.limits();
    }
    return decisions.handle(event, nowNanos);
  }

  @Override
  public Map<ClientAccount, Double> tokensPerSecond() {
    long now = clock.nowNanos();
    synchronized (accounts) {
      accounts.values().removeIf(rate -> rate.at(now) < NEGLIGIBLE_ACCOUNT_TOKENS_PER_SECOND);
      Map<ClientAccount, Double> result = new HashMap<>();
      accounts.forEach((account, rate) -> result.put(account, rate.at(now)));
      return result;
    }
  }

  @Override
  public List<PoolDemand> poolDemand() {
    long now = clock.nowNanos();
    List<PoolDemand> result = new ArrayList<>();
    synchronized (accounts) {
      pools.values().removeIf(rates -> rates.isNegligible(now));
      pools.forEach((pool, rates) -> result.add(rates.toWire(pool, now)));
    }
    return result;
  }

  private void measure(WorkRequest work, long nowNanos) {
    int tokens = Math.max(1, work.promptTokens() + work.expectedOutputTokens());
    synchronized (accounts) {
      accounts.computeIfAbsent(work.account(), key -> new Rate()).add(tokens, nowNanos);
      if (work.kind() == WorkKind.MODEL_COMPLETION) {
        PoolRates rates = pools.computeIfAbsent(work.pool(), key -> new PoolRates());
        int unsharedTokens = Math.max(0, work.promptTokens() - work.options().sharedPrefixTokens());
        rates.prefill.add(unsharedTokens, nowNanos);
        rates.decode.add(work.expectedOutputTokens(), nowNanos);
        rates.preemptible.add(mayUsePreemptible(work) ? tokens : 0, nowNanos);
      }
    }
  }

  private boolean mayUsePreemptible(WorkRequest work) {
    PlanLimits plan = limits.get(work.account());
    return plan != null && plan.cheapCapacity() == CheapCapacity.ALLOWED;
  }

  /** Exponentially decaying rate. */
  private static final class Rate {
    private double perSecond;
    private long atNanos;

    void add(int tokens, long nowNanos) {
      perSecond = at(nowNanos) + tokens / DECAY_SECONDS;
      atNanos = nowNanos;
    }

    double at(long nowNanos) {
      double seconds = (double) (nowNanos - atNanos) / TimeUnit.SECONDS.toNanos(1);
      return perSecond * Math.exp(-seconds / DECAY_SECONDS);
    }
  }

  /** Rates of one pool. */
  private static final class PoolRates {
    private final Rate prefill = new Rate();
    private final Rate decode = new Rate();
    private final Rate preemptible = new Rate();

    boolean isNegligible(long nowNanos) {
      return prefill.at(nowNanos) + decode.at(nowNanos) < NEGLIGIBLE_POOL_TOKENS_PER_SECOND;
    }

    PoolDemand toWire(PoolId pool, long nowNanos) {
      return PoolDemand.newBuilder()
          .setPool(pool.value())
          .setPrefillTokensPerSecond(prefill.at(nowNanos))
          .setDecodeTokensPerSecond(decode.at(nowNanos))
          .setCheapTokensPerSecond(preemptible.at(nowNanos))
          .build();
    }
  }
}
