package org.teaseltrestle.policy;

import org.teaseltrestle.model.ClientAccount;

/**
 * Limits of one client account, from its plan, as they apply at this instance.
 *
 * @param account client account
 * @param weight share in fair queueing
 * @param priority shedding order, 0 is shed last
 * @param tokensPerSecond work allowed a second over all instances
 * @param burstTokens largest burst of work
 * @param requestsPerSecond requests allowed a second over all instances
 * @param maximumRunning requests running at once over all instances
 * @param cheapCapacity whether the account's work may run on cheap capacity
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

  /** Most of any limit of an account that has none; finite, since shares multiply it. */
  private static final double UNLIMITED = 1e12;

  /** Returns the limits of an account that is bounded by capacity and fairness only. */
  public static PlanLimits unlimited(ClientAccount account) {
    return new PlanLimits(
        account, 1, 0, UNLIMITED, UNLIMITED, UNLIMITED, Integer.MAX_VALUE, CheapCapacity.ALLOWED);
  }

  /** Whether cheap capacity may be used. */
  public enum CheapCapacity {
    ALLOWED,
    NEVER
  }
}
