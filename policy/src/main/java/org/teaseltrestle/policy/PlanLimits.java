package org.teaseltrestle.policy;

import org.teaseltrestle.model.ClientAccount;

/**
 * Limits of one client account, from its plan. Rates and counts apply to all instances together;
 * each instance enforces its share of them.
 *
 * @param account client account
 * @param weight weight in fair queueing
 * @param priority shedding order, 0 is shed last
 * @param tokensPerSecond work in tokens allowed per second over all instances
 * @param burstTokens maximum burst of work in tokens
 * @param requestsPerSecond requests allowed per second over all instances
 * @param maximumRunning requests open at once over all instances
 * @param cheapCapacity whether the account's requests may run on preemptible capacity
 */
public record PlanLimits(
    ClientAccount account,
    int weight,
    int priority,
    double tokensPerSecond,
    double burstTokens,
    double requestsPerSecond,
    int maximumRunning,
    CheapCapacity cheapCapacity) {

  /** Limit of an account without limits; finite, since it is multiplied by shares. */
  private static final double UNLIMITED = 1e12;

  /** Returns the limits of an account that is bounded by capacity and fairness only. */
  public static PlanLimits unlimited(ClientAccount account) {
    return new PlanLimits(
        account, 1, 0, UNLIMITED, UNLIMITED, UNLIMITED, Integer.MAX_VALUE, CheapCapacity.ALLOWED);
  }

  /** Whether preemptible capacity may be used. */
  public enum CheapCapacity {
    ALLOWED,
    NEVER
  }
}
