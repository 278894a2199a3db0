package org.teaseltrestle.node.replica;

import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.lists.Plan;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.AccountDemand;

/**
 * Selects the accounts whose total demand a parent forwards to a child. The demand of 1,100
 * accounts takes 28 KB in each grant bundle, more than the 10 KB/s that a node may use.
 */
final class DemandFilter {

  // A child without the total demand of an account treats the account's limit as unused. If the
  // demand is below half of the limit, this admits at most twice the unused portion.
  private static final double HEAVY_USE_FRACTION = 0.5;

  private DemandFilter() {}

  /** Returns the accounts that the child reported and those that use at least half their limit. */
  static List<AccountDemand> forChild(
      List<AccountDemand> total, Set<String> reported, ServingLists lists) {
    return total.stream()
        .filter(each -> reported.contains(each.getAccount()) || isHeavilyUsed(each, lists))
        .toList();
  }

  private static boolean isHeavilyUsed(AccountDemand demand, ServingLists lists) {
    double limit =
        lists
            .planOf(new ClientAccount(demand.getAccount()))
            .map(Plan::tokensPerSecond)
            .orElse(Double.POSITIVE_INFINITY);
    return demand.getTokensPerSecond() >= HEAVY_USE_FRACTION * limit;
  }
}
