package org.teaseltrestle.node.relay;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.lists.Plan;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.policy.PlanLimits;
import org.teaseltrestle.policy.WorkRequest;

/** Derives the limits of all client accounts from the lists. */
final class AccountLimits {

  /**
   * Account under which calls of open routes, which need no key, are admitted. The admission
   * decisions hold its limits; it is never charged.
   */
  static final ClientAccount OPEN_ROUTES = WorkRequest.OPEN_ROUTE_ACCOUNT;

  private AccountLimits() {}

  static Map<ClientAccount, PlanLimits> of(ServingLists lists) {
    Map<ClientAccount, PlanLimits> limits = new HashMap<>();
    lists
        .accounts()
        .forEach(
            (account, name) -> {
              Plan plan = lists.plans().get(name);
              if (plan != null) {
                limits.put(account, limitsOf(account, plan));
              }
            });
    return limits;
  }

  private static PlanLimits limitsOf(ClientAccount account, Plan plan) {
    return new PlanLimits(
        account,
        plan.weight(),
        plan.priority(),
        plan.tokensPerSecond(),
        plan.burstTokens(),
        plan.requestsPerSecond(),
        plan.maximumRunning(),
        plan.cheapCapacity() == Plan.CheapCapacity.ALLOWED
            ? PlanLimits.CheapCapacity.ALLOWED
            : PlanLimits.CheapCapacity.NEVER);
  }
}
