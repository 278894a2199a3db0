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

  /** Whether cheap capacity may be used. */
  public enum CheapCapacity {
    ALLOWED,
    NEVER
  }
}
