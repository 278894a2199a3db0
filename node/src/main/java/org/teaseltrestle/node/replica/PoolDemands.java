package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrestle.wire.PoolDemand;

/** Adds up demand by pool. */
final class PoolDemands {

  private PoolDemands() {}

  /** Returns one entry for each pool, sorted by pool. */
  static List<PoolDemand> sum(Collection<PoolDemand> demands) {
    Map<String, PoolDemand> sums = new TreeMap<>();
    demands.forEach(each -> sums.merge(each.getPool(), each, PoolDemands::add));
    return new ArrayList<>(sums.values());
  }

  private static PoolDemand add(PoolDemand one, PoolDemand other) {
    return one.toBuilder()
        .setPrefillTokensPerSecond(
            one.getPrefillTokensPerSecond() + other.getPrefillTokensPerSecond())
        .setDecodeTokensPerSecond(one.getDecodeTokensPerSecond() + other.getDecodeTokensPerSecond())
        .setCheapTokensPerSecond(one.getCheapTokensPerSecond() + other.getCheapTokensPerSecond())
        .build();
  }
}
