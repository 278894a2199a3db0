package org.teaseltrestle.policy;

/**
 * What a route adds to the terms of an account's plan.
 *
 * @param maximumAttempts backend servers that may run the request
 * @param priority urgency, 0 first; negative for that of the plan
 * @param affinity hash of the shared part of the prompt, 0 if it shares nothing
 * @param sharedTokens prompt tokens that other requests of the same affinity share
 */
public record WorkTerms(int maximumAttempts, int priority, long affinity, int sharedTokens) {

  /** No terms beyond the plan's. */
  public static final WorkTerms NONE = new WorkTerms(Integer.MAX_VALUE, -1, 0, 0);
}
