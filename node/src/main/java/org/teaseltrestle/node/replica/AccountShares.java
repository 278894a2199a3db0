package org.teaseltrestle.node.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.wire.AccountDemand;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.PoolDemand;

/** Collects this node's demand and computes its shares from the demand of all nodes. */
final class AccountShares {

  private static final long SHARE_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final DemandSource source;
  private final ShareListener listener;
  private final MonotonicClock clock;
  private Map<ClientAccount, Double> reported = Map.of();

  AccountShares(DemandSource source, ShareListener listener, MonotonicClock clock) {
    this.source = source;
    this.listener = listener;
    this.clock = clock;
  }

  /** Returns this node's demand by account; the next shares are computed from it. */
  Map<String, Double> collectDemand() {
    reported = Map.copyOf(source.tokensPerSecond());
    Map<String, Double> demand = new HashMap<>();
    reported.forEach((account, tokens) -> demand.put(account.value(), tokens));
    return demand;
  }

  /** Returns this node's demand by pool. */
  List<PoolDemand> collectPoolDemand() {
    return source.poolDemand();
  }

  /** Passes the shares that follow from the total demand of a grant bundle to the listener. */
  void applyGrants(GrantBundle grants) {
    Map<String, Double> totalByAccount = toMap(grants.getTotalDemandList());
    Map<ClientAccount, Double> shares = new HashMap<>();
    reported.forEach(
        (account, ownDemand) -> {
          double accountTotal = totalByAccount.getOrDefault(account.value(), 0.0);
          if (accountTotal > 0 && ownDemand > 0) {
            shares.put(account, Math.min(1, ownDemand / accountTotal));
          }
        });
    Map<ClientAccount, Double> totalDemand = new HashMap<>();
    totalByAccount.forEach((account, sum) -> totalDemand.put(new ClientAccount(account), sum));
    double defaultShare = 1.0 / Math.max(1, grants.getRegisteredInstances());
    listener.granted(shares, totalDemand, clock.nowNanos() + SHARE_VALIDITY_NANOS, defaultShare);
  }

  static Map<String, Double> toMap(List<AccountDemand> demand) {
    Map<String, Double> sums = new HashMap<>();
    demand.forEach(each -> sums.merge(each.getAccount(), each.getTokensPerSecond(), Double::sum));
    return sums;
  }

  static List<AccountDemand> toList(Map<String, Double> demand) {
    return demand.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(
            entry ->
                AccountDemand.newBuilder()
                    .setAccount(entry.getKey())
                    .setTokensPerSecond(entry.getValue())
                    .build())
        .toList();
  }
}
